//! Generates the Rust code of the wire format from `schema/wire.fbs`.

use std::path::Path;

fn main() {
    let schema = Path::new("schema/wire.fbs");
    println!("cargo:rerun-if-changed=schema/wire.fbs");
    let declarations = planus_translation::translate_files(&[schema])
        .expect("schema/wire.fbs is not a valid schema");
    let code = planus_codegen::generate_rust(&declarations, false)
        .expect("failed to generate code for schema/wire.fbs");
    let out =
        Path::new(&std::env::var("OUT_DIR").expect("OUT_DIR is set by cargo")).join("wire.rs");
    std::fs::write(out, code).expect("failed to write the generated code");
}
