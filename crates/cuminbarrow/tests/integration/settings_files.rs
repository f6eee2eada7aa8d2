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
        error: entry.yaml: unknown field `write_timeout`, expected one of `region`, `listen`, `probe_listen`, `link_listen`, `platform`, `shared_key`, `tokens`, `log_region`, `peers`, `log_timeout_ms`, `write_timeout_ms`, `session_timeout_ms`, `planner_timeout_ms`, `snapshot_batches`, `drain_ms`, `max_removed_permille`, `team_submissions_per_s`, `max_requests`, `memory_mb`, `requests`, `links`, `policy`, `goal`, `log` at line 7 column 1
        error: entry.yaml: tokens: "a" needs token_sha256 with 64 hexadecimal digits
        error: entry.yaml: write_timeout_ms: invalid type: string "soon", expected u64 at line 7 column 19
        error: entry.yaml: missing field `listen`
        error: entry.yaml: region: invalid type: sequence, expected a string at line 1 column 9
    "#]].assert_eq(&found);
}

/// Guards against a process that starts with limits which its memory can't hold.
#[test]
fn limits_of_requests_are_checked_against_the_memory() {
    let folder = std::env::temp_dir().join(format!("cuminbarrow-limits-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("agent.yaml");
    let valid = "instance: i\nregion: r\ndata_centre: d\nlisten_reports: 127.0.0.1:7500\n\
                 listen_metrics: 127.0.0.1:7501\nworker: 127.0.0.1:7502\n\
                 store: { address: 127.0.0.1:7503 }\nshared_key: secret\nmax_lease_ms: 2500\n";
    let mut found = String::new();
    for text in [
        "",
        "memory_mb: 64\n",
        "memory_mb: 16\n",
        "memory_mb: 64\nrequests: { connections: 512 }\n",
        "requests: { body_bytes: 5000000 }\n",
        "requests: { connections: 5000 }\n",
        "requests: { buffer_bytes: 8192 }\n",
        "requests: { connection: 1 }\n",
    ] {
        std::fs::write(&file, format!("{valid}{text}")).unwrap();
        let (_, text) = check(env!("CARGO_BIN_EXE_cuminbarrow-platform-agent"), &file);
        found.push_str(&text.replace(&file.display().to_string(), "agent.yaml"));
    }
    std::fs::remove_dir_all(&folder).unwrap();
    expect![[r#"
        agent.yaml: the settings are valid
        agent.yaml: the settings are valid
        error: agent.yaml: requests.body_bytes: must be at least 4893354: small_part_bytes and the largest body of 4194304
        error: agent.yaml: memory_mb: half of 64 MB is less than the 64 MB that requests may take: lower requests.body_bytes or requests.connections
        error: agent.yaml: requests.body_bytes: must be at least 8388608: small_part_bytes and the largest body of 4194304
        error: agent.yaml: memory_mb: half of 128 MB is less than the 292 MB that requests may take: lower requests.body_bytes or requests.connections
        error: agent.yaml: requests.buffer_bytes: must be at least 16384
        error: agent.yaml: requests: unknown field `connection`, expected one of `body_bytes`, `small_part_bytes`, `small_body_bytes`, `min_body_bytes_per_s`, `body_timeout_ms`, `write_timeout_ms`, `idle_timeout_ms`, `connections`, `probe_connections`, `buffer_bytes` at line 10 column 13
    "#]].assert_eq(&found);
}
