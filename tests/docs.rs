//! Checks that the programs accept every example in the documentation.

use std::fs;
use std::path;

use bulrushwind::{burn, cli, config, entry, settings};
use clap::Parser;

/// A fenced code block of a page.
struct Fence {
    at: String,
    kind: String,
    text: String,
}

fn pages() -> Vec<path::PathBuf> {
    let mut pages: Vec<path::PathBuf> = ["README.md", "CONTRIBUTING.md"].map(Into::into).into();
    for dir in ["docs", "docs/operators", "docs/design"] {
        for entry in fs::read_dir(dir).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|ext| ext == "md") {
                pages.push(path);
            }
        }
    }
    pages
}

fn fences() -> Vec<Fence> {
    let mut found = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let mut open: Option<Fence> = None;
        for (n, line) in text.lines().enumerate() {
            match (&mut open, line.strip_prefix("```")) {
                (None, Some(kind)) => {
                    open = Some(Fence {
                        at: format!("{}:{}", page.display(), n + 1),
                        kind: kind.to_owned(),
                        text: String::new(),
                    });
                }
                (Some(_), Some(_)) => found.extend(open.take()),
                (Some(fence), None) => fence.text.push_str(&format!("{line}\n")),
                (None, None) => {}
            }
        }
        assert!(open.is_none(), "{}: a fence stays open", page.display());
    }
    found
}

#[test]
fn every_toml_example_parses() {
    let mut seen = 0;
    for fence in fences() {
        let at = &fence.at;
        match fence.kind.as_str() {
            "toml settings" => {
                settings::Team::parse(at, &fence.text).unwrap();
            }
            "toml entry" => {
                let cfg: config::Config = toml::from_str(&fence.text).expect(at);
                cfg.check().expect(at);
            }
            "toml deployment" => {
                toml::from_str::<cli::directory::Deployment>(&fence.text).expect(at);
            }
            kind => {
                assert!(
                    !kind.starts_with("toml"),
                    "{at}: say which kind of TOML it is"
                );
                continue;
            }
        }
        seen += 1;
    }
    assert!(seen >= 4, "only {seen} examples were found");
}

#[test]
fn every_command_example_parses() {
    let mut seen = 0;
    for fence in fences().iter().filter(|fence| fence.kind == "sh") {
        for line in fence.text.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let parsed = match words.first().copied() {
                Some("bulrushwind") => cli::args::Cli::try_parse_from(&words).map(drop),
                Some("bulrushwind-burn") => burn::args::Args::try_parse_from(&words).map(drop),
                Some("bulrushwind-entry") => entry::args::Args::try_parse_from(&words).map(drop),
                _ => continue,
            };
            if let Err(err) = parsed {
                panic!("{}: {line}: {err}", fence.at);
            }
            seen += 1;
        }
    }
    assert!(seen >= 20, "only {seen} commands were found");
}

#[test]
fn the_configuration_page_lists_every_key_and_default() {
    let page = fs::read_to_string("docs/operators/configuration.md").unwrap();
    let known = toml::Table::try_from(config::Config::default()).unwrap();
    for (key, value) in &known {
        let default = match value {
            toml::Value::Integer(value) => value.to_string(),
            _ => "none".to_owned(),
        };
        let row = format!("| `{key}` | {default} | ");
        assert!(
            page.contains(&row),
            "docs/operators/configuration.md lacks `{row}`"
        );
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(rows, known.len(), "the page has rows for removed keys");
}

#[test]
fn links_between_pages_resolve() {
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in text.split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let path = page.parent().unwrap().join(target);
            assert!(path.exists(), "{}: {target} is not there", page.display());
        }
    }
}
