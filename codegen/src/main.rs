//! Writes `src/wire/generated` from the files in `proto`.
//!
//! The output is committed, so that the build of the main crate needs neither `protoc` nor this package.

use std::path::Path;
use std::{fs, io};

fn main() -> io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let out = root.join("src/wire/generated");
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .bytes(".nutmegfold.peer.Call.body")
        .bytes(".nutmegfold.peer.Delivered.body")
        .emit_rerun_if_changed(false)
        .out_dir(&out)
        .compile_protos(&[root.join("proto/peer.proto"), root.join("proto/job.proto")], &[root.join("proto")])?;
    fs::rename(out.join("nutmegfold.peer.rs"), out.join("peer.rs"))?;
    fs::rename(out.join("nutmegfold.job.rs"), out.join("job.rs"))
}
