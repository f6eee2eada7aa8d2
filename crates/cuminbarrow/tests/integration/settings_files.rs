//! Settings files: the examples are valid, and errors name file, key and position.

use std::path::Path;
use std::process::Command;

use expect_test::expect;

/// Checks a settings file with a daemon's `--check` option; returns success and output.
fn check(program: &str, file: &Path) -> (bool, String) {
    let output = Command::new(program)
        .args(["--check", "--config"])
        .arg(file)
        .output()
        .expect("the program was built for this test");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("output is UTF-8");
    (output.status.success(), text)
}

#[test]
fn example_settings_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for deployment in ["archive", "dobrescu"] {
        for (program, role) in [
            (env!("CARGO_BIN_EXE_cuminbarrow-agent"), "agent"),
            (env!("CARGO_BIN_EXE_cuminbarrow-entry"), "entry"),
        ] {
            let file = examples.join(format!("{deployment}-{role}.yaml"));
            let (is_valid, text) = check(program, &file);
            assert!(is_valid, "{text}");
        }
    }
}

#[test]
fn settings_errors_name_file_key_and_position() {
    let folder = std::env::temp_dir().join(format!("cuminbarrow-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("entry.yaml");
    let valid = "region: zapad\nlisten: 127.0.0.1:7500\nlink_listen: 127.0.0.1:7501\n\
                 platform: http://127.0.0.1:7400\nshared_key: secret\n";
    let cases = [
        format!("{valid}tokens: []\n"),
        format!("{valid}tokens: []\nwrite_timeout: 5\n"),
        format!("{valid}tokens:\n- {{name: a, token_sha256: \"12\", role: operator}}\n"),
        format!("{valid}tokens: []\nwrite_timeout_ms: soon\n"),
        "region: zapad\n".to_owned(),
        "region: [\n".to_owned(),
    ];
    let mut found = String::new();
    for text in cases {
        std::fs::write(&file, text).unwrap();
        let (is_valid, text) = check(env!("CARGO_BIN_EXE_cuminbarrow-entry"), &file);
        assert!(!is_valid);
        found.push_str(&text.replace(&file.display().to_string(), "entry.yaml"));
    }
    std::fs::remove_dir_all(&folder).unwrap();
    expect![[r#"
        error: entry.yaml: tokens: at least one token is needed
        error: entry.yaml: unknown field `write_timeout`, expected one of `region`, `listen`, `link_listen`, `platform`, `shared_key`, `tokens`, `log_region`, `peers`, `log_timeout_ms`, `write_timeout_ms`, `session_timeout_ms`, `planner_timeout_ms`, `snapshot_batches`, `drain_ms`, `max_removed_permille`, `team_submissions_per_s`, `max_requests`, `policy`, `goal`, `log` at line 7 column 1
        error: entry.yaml: tokens: "a" needs token_sha256 with 64 hexadecimal digits
        error: entry.yaml: write_timeout_ms: invalid type: string "soon", expected u64 at line 7 column 19
        error: entry.yaml: missing field `listen`
        error: entry.yaml: region: invalid type: sequence, expected a string at line 1 column 9
    "#]].assert_eq(&found);
}
