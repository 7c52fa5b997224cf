//! Tests of the stored key that names the relay of an availability zone.

use std::time::Duration;

use nutmegfold::core::work::store::{Key, Relay, Value};
use nutmegfold::declare::zone;
use nutmegfold::wire::job::{LEADERSHIP, decode, encode, key_text, parse_key};
use proptest::prelude::*;

proptest! {
    /// Guards against a relay that other entry VMs cannot read, or do not hear of since they do not watch its key.
    #[test]
    fn a_stored_relay_is_unreadable(
        name in "[a-z0-9-]{0,20}",
        port in any::<u16>(),
        cpu_millicores in any::<u32>(),
        round_trip_us in any::<u32>(),
        zone in any::<u32>(),
    ) {
        let key = Key::Relay(zone::Id(zone));
        prop_assert!(key_text(key).starts_with(LEADERSHIP));
        prop_assert_eq!(parse_key(&key_text(key)), Some(key));
        let relay = Relay {
            vm: name,
            address: ([10, 0, 0, 1], port).into(),
            cpu_millicores,
            store_round_trip: Duration::from_micros(round_trip_us.into()),
        };
        let value = Value::Relay(relay);
        prop_assert_eq!(decode(key, &encode(&value)).ok(), Some(value.clone()));
        prop_assert!(decode(Key::Leader, &encode(&value)).is_err());
    }

    /// Guards against damaged bytes that end the process.
    #[test]
    fn a_damaged_relay_ends_the_process(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(Key::Relay(zone::Id(1)), &bytes).is_err());
    }
}
