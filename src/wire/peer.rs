//! Protobuf encoding of the messages between entry VMs.
//!
//! A parcel is decoded as a whole or not at all: a missing or out-of-range field is a [`Malformed`] error.

use std::net::{IpAddr, SocketAddr};

use prost::Message as _;
use thiserror::Error;

use super::generated::peer as proto;
use super::journal;
use crate::core::config::{Document, Index};
use crate::core::peer::{Message, Route};
use crate::core::{cell, grant, member, run};
use crate::declare::{service, zone};
use crate::error::Decode;

/// Why a parcel cannot be decoded.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Malformed {
    /// The bytes are not a protobuf message of this type.
    #[error("not a parcel: {0}")]
    Protobuf(#[from] prost::DecodeError),
    /// A field that every sender sets is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// A value is outside the range of its field.
    #[error("field {field} has value {value}, which is out of range")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u64,
    },
    /// The snapshot of a handover is damaged.
    #[error("snapshot: {0}")]
    Snapshot(#[from] Decode),
    /// An IP address has neither 4 nor 16 bytes.
    #[error("an IP address has {0} bytes")]
    Ip(usize),
}

/// A message between entry VMs, with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parcel {
    /// Identity of the sender.
    pub from: member::Id,
    /// Peer address of the sender.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Decodes a parcel.
///
/// # Errors
///
/// The bytes are malformed, or a field is missing or out of range.
pub fn parse(bytes: &[u8]) -> Result<Parcel, Malformed> {
    proto::Parcel::decode(bytes)?.try_into()
}

impl From<Parcel> for proto::Parcel {
    fn from(parcel: Parcel) -> Self {
        Self {
            from: parcel.from.0,
            address: Some(parcel.address.into()),
            message: Some(parcel.message.into()),
        }
    }
}

impl TryFrom<proto::Parcel> for Parcel {
    type Error = Malformed;

    fn try_from(parcel: proto::Parcel) -> Result<Self, Malformed> {
        Ok(Self {
            from: member::Id(parcel.from),
            address: required(parcel.address, "address")?.try_into()?,
            message: required(parcel.message, "message")?.try_into()?,
        })
    }
}

impl From<Message> for proto::parcel::Message {
    fn from(message: Message) -> Self {
        match message {
            Message::Heartbeat { counter: beat, version, others } => {
                let others =
                    others.into_iter().map(|other| proto::Beat { member: other.id.0, beat: other.counter });
                Self::Heartbeat(proto::Heartbeat { beat, version, others: others.collect() })
            }
            Message::Leave => Self::Leave(proto::Leave {}),
            Message::ConfigAsk { known_version: have, documents } => {
                Self::ConfigAsk(proto::ConfigAsk { have, documents })
            }
            Message::ConfigOffer { index, documents } => {
                let documents = documents.into_iter().map(|(hash, text)| proto::Text { hash, text });
                Self::ConfigOffer(proto::ConfigOffer {
                    index: Some(index.into()),
                    documents: documents.collect(),
                })
            }
            Message::GrantAsk { cell, held, asked_us, routes_version: routes } => {
                let held = held.map(|slot| u32::from(slot.0));
                Self::GrantAsk(proto::GrantAsk { cell: Some(cell.into()), held, asked_us, routes })
            }
            Message::Grant { cell, epoch, slot, asked_us, ttl_ms } => Self::Grant(proto::Grant {
                cell: Some(cell.into()),
                epoch,
                slot: slot.0.into(),
                asked_us,
                ttl_ms,
            }),
            Message::Routes { cell, epoch, version, replicas } => {
                let replicas = replicas.into_iter().map(proto::Route::from).collect();
                Self::Routes(proto::Routes { cell: Some(cell.into()), epoch, version, replicas })
            }
            Message::Handover { cell, epoch, next, snapshot } => Self::Handover(proto::Handover {
                cell: Some(cell.into()),
                epoch,
                next,
                snapshot: journal::encode_snapshot(&snapshot),
            }),
        }
    }
}

impl TryFrom<proto::parcel::Message> for Message {
    type Error = Malformed;

    fn try_from(message: proto::parcel::Message) -> Result<Self, Malformed> {
        use proto::parcel::Message as Wire;
        Ok(match message {
            Wire::Heartbeat(heartbeat) => {
                let others = heartbeat
                    .others
                    .into_iter()
                    .map(|other| member::Liveness { id: member::Id(other.member), counter: other.beat });
                Self::Heartbeat {
                    counter: heartbeat.beat,
                    version: heartbeat.version,
                    others: others.collect(),
                }
            }
            Wire::Leave(_) => Self::Leave,
            Wire::ConfigAsk(ask) => Self::ConfigAsk { known_version: ask.have, documents: ask.documents },
            Wire::ConfigOffer(offer) => Self::ConfigOffer {
                index: required(offer.index, "index")?.into(),
                documents: offer
                    .documents
                    .into_iter()
                    .map(|document| (document.hash, document.text))
                    .collect(),
            },
            Wire::GrantAsk(ask) => Self::GrantAsk {
                cell: required(ask.cell, "cell")?.try_into()?,
                held: ask.held.map(slot).transpose()?,
                asked_us: ask.asked_us,
                routes_version: ask.routes,
            },
            Wire::Grant(grant) => Self::Grant {
                cell: required(grant.cell, "cell")?.try_into()?,
                epoch: grant.epoch,
                slot: slot(grant.slot)?,
                asked_us: grant.asked_us,
                ttl_ms: grant.ttl_ms,
            },
            Wire::Routes(routes) => Self::Routes {
                cell: required(routes.cell, "cell")?.try_into()?,
                epoch: routes.epoch,
                version: routes.version,
                replicas: routes.replicas.into_iter().map(Route::try_from).collect::<Result<_, _>>()?,
            },
            Wire::Handover(handover) => Self::Handover {
                cell: required(handover.cell, "cell")?.try_into()?,
                epoch: handover.epoch,
                next: handover.next,
                snapshot: journal::decode_snapshot(&handover.snapshot)?,
            },
        })
    }
}

impl From<SocketAddr> for proto::Address {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Self { ip, port: address.port().into() }
    }
}

impl TryFrom<proto::Address> for SocketAddr {
    type Error = Malformed;

    fn try_from(address: proto::Address) -> Result<Self, Malformed> {
        let ip = if let Ok(octets) = <[u8; 4]>::try_from(address.ip.as_slice()) {
            IpAddr::from(octets)
        } else if let Ok(octets) = <[u8; 16]>::try_from(address.ip.as_slice()) {
            IpAddr::from(octets)
        } else {
            return Err(Malformed::Ip(address.ip.len()));
        };
        Ok(SocketAddr::new(ip, narrow(address.port, "port")?))
    }
}

impl From<cell::Id> for proto::Cell {
    fn from(cell: cell::Id) -> Self {
        Self { zone: cell.zone.0, index: cell.index.into() }
    }
}

impl TryFrom<proto::Cell> for cell::Id {
    type Error = Malformed;

    fn try_from(cell: proto::Cell) -> Result<Self, Malformed> {
        Ok(Self { zone: zone::Id(cell.zone), index: narrow(cell.index, "cell.index")? })
    }
}

impl From<Index> for proto::Index {
    fn from(index: Index) -> Self {
        let documents = index.documents.into_iter().map(|document| proto::Document {
            name: document.name,
            version: document.version,
            hash: document.hash,
            author: document.author,
            applied_s: document.applied_s,
        });
        Self { version: index.version, write_id: index.write_id, documents: documents.collect() }
    }
}

impl From<proto::Index> for Index {
    fn from(index: proto::Index) -> Self {
        let documents = index.documents.into_iter().map(|document| Document {
            name: document.name,
            version: document.version,
            hash: document.hash,
            author: document.author,
            applied_s: document.applied_s,
        });
        Self { version: index.version, write_id: index.write_id, documents: documents.collect() }
    }
}

impl From<Route> for proto::Route {
    fn from(route: Route) -> Self {
        Self {
            run: route.run.0,
            service: route.service.0,
            address: Some(route.address.into()),
            connections: route.connections.into(),
            leaving: route.leaving,
            batch_percent: route.batch_percent.into(),
        }
    }
}

impl TryFrom<proto::Route> for Route {
    type Error = Malformed;

    fn try_from(route: proto::Route) -> Result<Self, Malformed> {
        Ok(Self {
            run: run::Id(route.run),
            service: service::Id(route.service),
            address: required(route.address, "route.address")?.try_into()?,
            connections: narrow(route.connections, "route.connections")?,
            leaving: route.leaving,
            batch_percent: narrow(route.batch_percent, "route.batch_percent")?,
        })
    }
}

fn slot(value: u32) -> Result<grant::Slot, Malformed> {
    narrow(value, "slot").map(grant::Slot)
}

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, Malformed> {
    value.ok_or(Malformed::Missing(field))
}

fn narrow<T: TryFrom<u32>>(value: u32, field: &'static str) -> Result<T, Malformed> {
    T::try_from(value).map_err(|_| Malformed::Range { field, value: value.into() })
}

#[cfg(test)]
mod tests {
    use proptest::collection::vec;
    use proptest::option;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;
    use crate::core::control::Checkpoint;
    use crate::core::journal::{Adoption, Snapshot, TaskSnapshot, TaskState};
    use crate::core::{task, worker};
    use crate::declare::job;

    fn config() -> ProptestConfig {
        ProptestConfig {
            cases: 512,
            rng_seed: RngSeed::Fixed(20_261_204),
            failure_persistence: None,
            ..ProptestConfig::default()
        }
    }

    fn cells() -> impl Strategy<Value = cell::Id> {
        any::<(u32, u16)>().prop_map(|(zone, index)| cell::Id { zone: zone::Id(zone), index })
    }

    fn addresses() -> impl Strategy<Value = SocketAddr> {
        (any::<IpAddr>(), any::<u16>()).prop_map(|(ip, port)| SocketAddr::new(ip, port))
    }

    fn indices() -> impl Strategy<Value = Index> {
        let document = (".{0,12}", any::<(u64, u64, u64)>(), ".{0,12}").prop_map(
            |(name, (version, hash, applied_s), author)| Document { name, version, hash, author, applied_s },
        );
        (any::<(u64, u64)>(), vec(document, 0..4)).prop_map(|((version, write_id), documents)| Index {
            version,
            write_id,
            documents,
        })
    }

    fn routes() -> impl Strategy<Value = Route> {
        (any::<(u64, u64, u16, bool, u8)>(), addresses()).prop_map(
            |((run, service, connections, leaving, batch_percent), address)| Route {
                run: run::Id(run),
                service: service::Id(service),
                address,
                connections,
                leaving,
                batch_percent,
            },
        )
    }

    fn task_states() -> impl Strategy<Value = TaskState> {
        let checkpoint = || option::of(any::<u64>().prop_map(Checkpoint));
        prop_oneof![
            checkpoint().prop_map(|checkpoint| TaskState::Queued { checkpoint }),
            (any::<(u64, u64)>(), checkpoint()).prop_map(|((worker, instance), checkpoint)| {
                TaskState::Assigned { worker: worker::Id(worker), instance, checkpoint }
            }),
            Just(TaskState::Finished),
            Just(TaskState::Failed(task::Reason::AlwaysFails)),
            Just(TaskState::Failed(task::Reason::FitsNothing)),
            Just(TaskState::Cancelled),
        ]
    }

    fn snapshots() -> impl Strategy<Value = Snapshot> {
        let task = (any::<(u64, u32, u32, u32)>(), task_states()).prop_map(
            |((job, index, attempt, failures), state)| TaskSnapshot {
                task: task::Id { job: job::Id(job), index },
                attempt,
                failures,
                state,
            },
        );
        let adoption = any::<(u64, u32, u64, bool)>().prop_map(|(job, count, version, cancelled)| Adoption {
            job: job::Id(job),
            count,
            version,
            cancelled,
        });
        (any::<(u64, u64, u64)>(), vec(adoption, 0..4), vec(task, 0..8)).prop_map(
            |((next, epoch, stored_position), jobs, tasks)| Snapshot {
                next,
                epoch,
                jobs,
                tasks,
                stored_position,
            },
        )
    }

    fn messages() -> impl Strategy<Value = Message> {
        let liveness =
            any::<(u64, u64)>().prop_map(|(id, counter)| member::Liveness { id: member::Id(id), counter });
        prop_oneof![
            (any::<(u64, u64)>(), vec(liveness, 0..9))
                .prop_map(|((counter, version), others)| Message::Heartbeat { counter, version, others }),
            Just(Message::Leave),
            (any::<u64>(), vec(any::<u64>(), 0..9))
                .prop_map(|(known_version, documents)| Message::ConfigAsk { known_version, documents }),
            (indices(), vec(any::<(u64, String)>(), 0..4))
                .prop_map(|(index, documents)| Message::ConfigOffer { index, documents }),
            (cells(), any::<(Option<u16>, u64, u64)>()).prop_map(
                |(cell, (held, asked_us, routes_version))| {
                    Message::GrantAsk { cell, held: held.map(grant::Slot), asked_us, routes_version }
                }
            ),
            (cells(), any::<(u64, u16, u64, u64)>()).prop_map(|(cell, (epoch, slot, asked_us, ttl_ms))| {
                Message::Grant { cell, epoch, slot: grant::Slot(slot), asked_us, ttl_ms }
            }),
            (cells(), any::<(u64, u64)>(), vec(routes(), 0..6)).prop_map(
                |(cell, (epoch, version), replicas)| Message::Routes { cell, epoch, version, replicas }
            ),
            (cells(), any::<(u64, u64)>(), snapshots()).prop_map(|(cell, (epoch, next), snapshot)| {
                Message::Handover { cell, epoch, next, snapshot }
            }),
        ]
    }

    proptest! {
        #![proptest_config(config())]

        /// Guards against a field that is lost, swapped or truncated by the encoding.
        #[test]
        fn messages_survive_the_round_trip(from in any::<u64>(), address in addresses(), message in messages()) {
            let parcel = Parcel { from: member::Id(from), address, message };
            let bytes = proto::Parcel::from(parcel.clone()).encode_to_vec();
            prop_assert_eq!(parse(&bytes), Ok(parcel));
        }

        /// Guards against a panic on bytes from a faulty or unknown sender.
        #[test]
        fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..256)) {
            let _ = parse(&bytes);
        }

        /// Guards against a panic on a message that is corrupted in transit.
        #[test]
        fn damaged_messages_never_panic(message in messages(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
            let parcel = Parcel { from: member::Id(1), address: ([127, 0, 0, 1], 1).into(), message };
            let mut bytes = proto::Parcel::from(parcel).encode_to_vec();
            let at = at.index(bytes.len());
            bytes[at] = byte;
            let _ = parse(&bytes);
            let _ = parse(&bytes[..at]);
        }
    }

    /// Guards against a message that is accepted with a default value in place of a missing or out-of-range field.
    #[test]
    fn incomplete_messages_are_refused() {
        let address = || Some(proto::Address { ip: vec![127, 0, 0, 1], port: 1 });
        let decode = |address, message| Parcel::try_from(proto::Parcel { from: 1, address, message });
        let leave = || Some(proto::parcel::Message::Leave(proto::Leave {}));
        let grant = |cell, slot| {
            Some(proto::parcel::Message::Grant(proto::Grant { cell, epoch: 0, slot, asked_us: 0, ttl_ms: 0 }))
        };
        let cell = |index| Some(proto::Cell { zone: 1, index });
        assert_eq!(decode(None, leave()), Err(Malformed::Missing("address")));
        assert_eq!(decode(address(), None), Err(Malformed::Missing("message")));
        assert_eq!(decode(address(), grant(None, 0)), Err(Malformed::Missing("cell")));
        let range = |field, value| Err(Malformed::Range { field, value });
        assert_eq!(decode(address(), grant(cell(0), 70_000)), range("slot", 70_000));
        assert_eq!(decode(address(), grant(cell(65_536), 0)), range("cell.index", 65_536));
        let malformed_address = Some(proto::Address { ip: vec![1, 2, 3], port: 1 });
        assert_eq!(decode(malformed_address, leave()), Err(Malformed::Ip(3)));
        let handover = |snapshot| {
            Some(proto::parcel::Message::Handover(proto::Handover {
                cell: cell(0),
                epoch: 1,
                next: 1,
                snapshot,
            }))
        };
        assert!(matches!(decode(address(), handover(vec![1, 2])), Err(Malformed::Snapshot(_))));
    }
}
