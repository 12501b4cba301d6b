//! Daemons that answer an operator's questions from a script.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::Path,
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    thread,
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use sesamebeam::{
    cli::{
        self,
        Exit, //
    },
    keys::FleetCa,
    link::{
        Credentials,
        Incoming,
        Link,
        Role, //
    },
    settings::{
        OperatorSettings,
        PeerEntry,
        ReplicaAddress, //
    },
};
use sesamebeam_core::message::wire;

/// What a command wrote, and how it ended.
#[derive(Debug)]
pub(crate) struct Ran {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs a command.
pub(crate) fn run(args: &[&str]) -> Ran {
    let mut out = Vec::new();
    let mut err = Vec::new();
    let exit = cli::run(args.iter().map(|arg| arg.into()), &mut out, &mut err);
    Ran {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// A fleet's authority and the settings of one operator.
pub(crate) struct Fleet {
    ca: FleetCa,
    pub(crate) folder: tempfile::TempDir,
    settings: OperatorSettings,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        let ca = FleetCa::generate("test").unwrap();
        let folder = tempfile::tempdir().unwrap();
        let role = Role::Operator("rosa".into());
        ca.issue(&role).unwrap().save(folder.path(), &ca).unwrap();
        let settings = OperatorSettings {
            keys: ".".into(),
            control: Vec::new(),
            entries: Vec::new(),
            timeout: std::time::Duration::from_secs(10),
        };
        Self {
            ca,
            folder,
            settings,
        }
    }

    /// Starts a control replica that answers with `answer`; none stays silent.
    pub(crate) fn control<Q, A>(&mut self, answer: impl FnMut(Q) -> Option<A> + Send + 'static)
    where
        Q: DeserializeOwned,
        A: Serialize + Send + Sync,
    {
        let node = self.settings.control.len() as u64 + 1;
        let addr = self.start(Role::Control(node), answer);
        self.settings.control.push(ReplicaAddress { node, addr });
    }

    /// Starts an entry that answers with `answer`.
    pub(crate) fn entry<Q, A>(
        &mut self,
        name: &str,
        answer: impl FnMut(Q) -> Option<A> + Send + 'static,
    ) where
        Q: DeserializeOwned,
        A: Serialize + Send + Sync,
    {
        let addr = self.start(Role::Entry(name.into()), answer);
        self.settings.entries.push(PeerEntry {
            instance: name.into(),
            domain: "north".into(),
            addr,
        });
    }

    /// Lists a control replica at an address where nobody answers.
    pub(crate) fn dead_control(&mut self) {
        let node = self.settings.control.len() as u64 + 1;
        let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = socket.local_addr().unwrap();
        // The socket stays bound, so that the port is not given to another test.
        std::mem::forget(socket);
        self.settings.control.push(ReplicaAddress { node, addr });
    }

    pub(crate) fn set_timeout(&mut self, timeout: std::time::Duration) {
        self.settings.timeout = timeout;
    }

    /// Runs a command with the operator's settings.
    pub(crate) fn run(&self, args: &[&str]) -> Ran {
        let path = self.folder.path().join("operator.toml");
        std::fs::write(&path, toml::to_string(&self.settings).unwrap()).unwrap();
        let path = path.to_str().unwrap();
        run(&[args, &["--settings", path]].concat())
    }

    /// Writes a file and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Takes the folder out of a text, so that it is the same every time.
    pub(crate) fn plain(&self, text: &str) -> String {
        text.replace(&format!("{}/", self.folder.path().display()), "")
    }

    fn start<Q, A>(
        &self,
        role: Role,
        answer: impl FnMut(Q) -> Option<A> + Send + 'static,
    ) -> SocketAddr
    where
        Q: DeserializeOwned,
        A: Serialize + Send + Sync,
    {
        let creds = Credentials::from_ca(&self.ca, &role).unwrap();
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let link = Link::bind((Ipv4Addr::LOCALHOST, 0).into(), &creds).unwrap();
                tx.send(link.local_addr().unwrap()).unwrap();
                serve(link, answer).await;
            });
        });
        rx.recv().unwrap()
    }
}

async fn serve<Q, A>(link: Link, answer: impl FnMut(Q) -> Option<A> + Send + 'static)
where
    Q: DeserializeOwned,
    A: Serialize + Send + Sync,
{
    let answer = Arc::new(Mutex::new(answer));
    while let Some(peer) = link.accept().await {
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let mut unanswered = Vec::new();
            while let Ok(incoming) = peer.next().await {
                let Incoming::Call { bytes, reply } = incoming else {
                    continue;
                };
                let given = (answer.lock().unwrap())(wire::decode(&bytes).unwrap());
                match given {
                    Some(given) => reply.reply(&given).await.unwrap(),
                    None => unanswered.push(reply),
                }
            }
        });
    }
}

/// Returns the example fleet file of a deployment.
pub(crate) fn example(deployment: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    std::fs::read_to_string(root.join(deployment).join("fleet.toml")).unwrap()
}
