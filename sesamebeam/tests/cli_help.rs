//! Pages of help.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use daemons::run;
use sesamebeam::cli::{
    Exit,
    help::Topic, //
};

/// Longest line of a page, for terminals of 80 columns.
const LINE: usize = 80;

/// Returns the words of a command.
fn words(topic: Topic) -> Vec<String> {
    let text = topic.to_string();
    text.split(' ').skip(1).map(str::to_owned).collect()
}

#[test]
fn golden_pages() {
    for topic in Topic::ALL {
        let name = topic.to_string().replace(' ', "_");
        insta::with_settings!({ omit_expression => true }, {
            insta::assert_snapshot!(name, topic.page());
        });
    }
}

#[test]
fn same_page() {
    for topic in Topic::ALL {
        let words = words(topic);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let asked = run(&[&words[..], &["--help"]].concat());
        assert_eq!(asked.exit, Exit::Done, "{topic}: {asked:?}");
        assert_eq!(asked.out, topic.page());
        let named = run(&[&["help"], &words[..]].concat());
        assert_eq!(named.out, topic.page(), "{topic}");
    }
}

#[test]
fn pages_whole() {
    for topic in Topic::ALL {
        let page = topic.page();
        for part in [
            "NAME",
            "SYNOPSIS",
            "DESCRIPTION",
            "OPTIONS",
            "EXIT CODES",
            "EXAMPLE",
        ] {
            assert!(
                page.contains(&format!("{part}\n    ")),
                "{topic} has {part}"
            );
        }
        for option in topic.options() {
            assert!(page.contains(option), "{topic} tells of {option}");
        }
        for line in page.lines() {
            assert!(line.chars().count() <= LINE, "{topic}: {line}");
        }
    }
}

#[test]
fn version() {
    let ran = run(&["--version"]);
    assert_eq!(
        ran.out,
        format!("sesamebeam {}\n", env!("CARGO_PKG_VERSION"))
    );
}
