//! `keys`.

use std::{
    fs,
    io::Write,
    path::Path, //
};

use serde::Serialize;

use super::{
    CliError,
    Exit,
    args::KeysCommand,
    output::Output, //
};
use crate::keys::{
    FleetCa,
    KeyError,
    Secret,
    write_private, //
};

#[derive(Serialize)]
struct KeyOutput<'a> {
    key: &'a str,
    sha256: &'a str,
}

/// Makes keys and certificates.
pub(super) fn run(
    command: &KeysCommand,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    match command {
        KeysCommand::Ca { fleet, out: folder } => {
            make_folder(folder)?;
            FleetCa::generate(fleet)?.save(folder)?;
            out.line(format!(
                "wrote ca.pem and ca.key.pem to {}",
                folder.display()
            ))?;
        }
        KeysCommand::Issue {
            role,
            ca,
            out: folder,
        } => {
            let ca = FleetCa::load(ca)?;
            make_folder(folder)?;
            ca.issue(role)?.save(folder, &ca)?;
            out.line(format!(
                "wrote ca.pem, cert.pem and key.pem of {role} to {}",
                folder.display()
            ))?;
        }
        KeysCommand::Organisation => show(&Secret::generate("sbo"), "key_sha256", out)?,
        KeysCommand::Announce => show(&Secret::generate("sba"), "announce_key_sha256", out)?,
        KeysCommand::Session { out: file } => {
            write_private(file, Secret::generate("sbs").reveal())?;
            out.line(format!("wrote a session secret to {}", file.display()))?;
        }
    }
    Ok(Exit::Done)
}

fn show(secret: &Secret, setting: &str, out: &mut Output<'_, impl Write>) -> Result<(), CliError> {
    let hash = secret.hash();
    if out.is_json() {
        return out.json(&KeyOutput {
            key: secret.reveal(),
            sha256: &hash,
        });
    }
    out.line(format!("key: {}", secret.reveal()))?;
    out.line(format!("{setting} = \"{hash}\""))?;
    Ok(())
}

fn make_folder(folder: &Path) -> Result<(), KeyError> {
    fs::create_dir_all(folder).map_err(|source| KeyError::Write {
        path: folder.to_owned(),
        source,
    })
}
