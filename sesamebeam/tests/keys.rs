//! Tests keys, certificates and secrets.

use std::os::unix::fs::PermissionsExt;

use sesamebeam::keys::{
    Credentials,
    FleetCa,
    KeyError,
    Role,
    Secret,
    sha256_hex, //
};
use yare::parameterized;

#[test]
fn credentials_saved_and_loaded() {
    let folder = tempfile::tempdir().unwrap();
    let ca = FleetCa::generate("vazna").unwrap();
    ca.save(folder.path()).unwrap();
    let ca = FleetCa::load(folder.path()).unwrap();

    let process_folder = tempfile::tempdir().unwrap();
    let role = Role::Entry("hall-devin-1".into());
    ca.issue(&role)
        .unwrap()
        .save(process_folder.path(), &ca)
        .unwrap();

    let creds = Credentials::load(process_folder.path()).unwrap();
    assert_eq!(*creds.role(), role);
    let mode = process_folder
        .path()
        .join("key.pem")
        .metadata()
        .unwrap()
        .permissions();
    assert_eq!(mode.mode() & 0o777, 0o600);
}

#[test]
fn existing_ca_not_overwritten() {
    let folder = tempfile::tempdir().unwrap();
    let ca = FleetCa::generate("vazna").unwrap();
    ca.save(folder.path()).unwrap();
    let second = FleetCa::generate("vazna").unwrap().save(folder.path());
    assert!(matches!(second, Err(KeyError::Write { .. })), "{second:?}");
    let ca_file = std::fs::read_to_string(folder.path().join("ca.pem")).unwrap();
    assert_eq!(ca_file, ca.cert_pem());
}

#[parameterized(
    entry = { "entry.lima-ate-1", Some(Role::Entry("lima-ate-1".into())) },
    control = { "control.3", Some(Role::Control(3)) },
    operator = { "operator.rosa", Some(Role::Operator("rosa".into())) },
    other_kind = { "runner.1", None },
    no_number = { "control.one", None },
    two_labels = { "entry.a.b", None },
    capital = { "entry.Lima", None },
    empty = { "entry.", None },
    hyphen_first = { "entry.-a", None },
)]
fn role_names(text: &str, expected: Option<Role>) {
    let role = text.parse::<Role>().ok();
    assert_eq!(role, expected);
    if let Some(role) = role {
        assert_eq!(role.to_string(), text);
    }
}

#[test]
fn invalid_name_rejected() {
    let ca = FleetCa::generate("vazna").unwrap();
    let issued = ca.issue(&Role::Entry("two words".into()));
    assert!(matches!(issued, Err(KeyError::InvalidName(_))));
}

#[test]
fn missing_file_in_error() {
    let folder = tempfile::tempdir().unwrap();
    let e = Credentials::load(folder.path()).err().unwrap();
    assert!(e.to_string().contains("ca.pem"), "{e}");
}

#[test]
fn secrets_hashed() {
    let secret = Secret::generate("sbo");
    assert_eq!(secret.hash(), sha256_hex(secret.reveal()));
    assert_ne!(secret.hash(), Secret::generate("sbo").hash());
    assert_eq!(
        sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}
