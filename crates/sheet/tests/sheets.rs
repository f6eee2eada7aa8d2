//! Parsing of valid and invalid sheets, diffs, and round trips through the writer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use cuminbarrow_sheet::sheet_diff::SheetDiff;
use cuminbarrow_sheet::sheet_parser::ParsedSheet;
use cuminbarrow_sheet::sheet_parser::parse;
use cuminbarrow_sheet::sheet_writer::write;
use expect_test::expect;
use proptest::prelude::*;

const HEADER: &str = "kind,team,name,count,members,accelerators,cores,span,repeatable,deadline,\
                      run_minutes,payload\n";
const FIRST_ROWS: &str = "sheet,,2026-12-04,3,,,,,,,,\nteam,Košice,,,,,,,,,,\n";

/// A sheet with a header, one team, the given rows and a matching `end` row.
fn sheet(rows: &str) -> String {
    let count = rows.lines().count() + 2;
    format!("{HEADER}{FIRST_ROWS}{rows}end,,,{count},,,,,,,,\n")
}

/// Content and warnings of a valid sheet, or the issues of an invalid one.
fn summary(bytes: &[u8]) -> String {
    match parse(bytes) {
        Err(issues) => {
            let lines: Vec<String> = issues.iter().map(ToString::to_string).collect();
            lines.join("\n    ")
        }
        Ok(ParsedSheet { sheet, service_day, warnings }) => {
            let guarantees: usize = sheet.teams.iter().map(|team| team.guarantees.len()).sum();
            let mut text = format!(
                "day {service_day}, base {}, {} teams, {guarantees} guarantees, {} jobs",
                sheet.base,
                sheet.teams.len(),
                sheet.jobs.len()
            );
            for job in &sheet.jobs {
                text.push_str(&format!(
                    "\n    job {} of {}: {}, {} ms, payload {:?}",
                    job.key, job.team, job.spec.shape, job.spec.declared_run_ms, job.spec.payload
                ));
            }
            for warning in warnings {
                text.push_str(&format!("\n    warning: {warning}"));
            }
            text
        }
    }
}

/// Named file contents, valid and invalid.
fn cases() -> Vec<(&'static str, Vec<u8>)> {
    let job = "job,Košice,drift,,2,8,4,rack,yes,2026-12-04T06:30:00Z,12.5,ref\n";
    let good = sheet(job);
    let semicolons = good.replace("12.5", "12,5x").replace(',', ";").replace("12;5x", "12,5");
    let reordered =
        "name,kind,count,team,note\n2026-12-04,sheet,0,,hello\n,team,,Nitra,\n,end,2,,\n";
    let mut latin = good.clone().into_bytes();
    latin.extend_from_slice(b"\xe9");
    let text = |text: &str| text.as_bytes().to_vec();
    vec![
        ("plain", text(&good)),
        ("byte order mark", text(&format!("\u{feff}{good}"))),
        ("carriage returns", text(&good.replace('\n', "\r\n"))),
        ("semicolons and decimal comma", text(&semicolons)),
        ("tabs", text(&good.replace(',', "\t"))),
        ("trailing blank rows", text(&format!("{good},,,,,,,,,,,\n\n,,,\n"))),
        ("reordered and extra columns", text(reordered)),
        ("upper-case header", text(&good.replace("kind,team", "KIND, Team "))),
        (
            "quoted comma and newline",
            text(&sheet(&job.replace("ref\n", "\"a,\nb\"\n")).replace("end,,,4", "end,,,3")),
        ),
        ("formula is text", text(&sheet(&job.replace("ref", "=1+1")))),
        ("at sign is text", text(&sheet(&job.replace("ref", "@cmd")))),
        ("no jobs", text(&sheet(""))),
        ("empty file", Vec::new()),
        ("header only", text(HEADER)),
        ("no header", text("sheet,,2026-12-04,3\n")),
        ("not UTF-8", latin),
        ("cut off", text(good.split_once("end,").unwrap().0)),
        ("rows missing in the middle", text(&good.replace(job, ""))),
        ("rows after the end", text(&format!("{good}team,Nitra,,,,,,,,,,\n"))),
        ("unknown kind", text(&sheet("jobs,Košice,drift,,1,1,1,,,,1,\n"))),
        ("unknown team", text(&sheet(&job.replace("Košice", "Kosice")))),
        ("team twice", text(&sheet("team,Košice,,,,,,,,,,\n"))),
        ("job twice", text(&sheet(&format!("{job}{job}")))),
        ("too many members", text(&sheet(&job.replace(",2,8,", ",65,8,")))),
        ("members not a number", text(&sheet(&job.replace(",2,8,", ",two,8,")))),
        ("negative accelerators", text(&sheet(&job.replace(",2,8,", ",2,-8,")))),
        ("unknown span", text(&sheet(&job.replace("rack", "room")))),
        ("odd flag", text(&sheet(&job.replace("yes", "maybe")))),
        ("odd deadline", text(&sheet(&job.replace("2026-12-04T06:30:00Z", "6:30")))),
        ("no run time", text(&sheet(&job.replace("12.5", "")))),
        ("run time not a number", text(&sheet(&job.replace("12.5", "NaN")))),
        ("odd day", text(&good.replace("sheet,,2026-12-04", "sheet,,4.12.2026"))),
        ("no name", text(&sheet(&job.replace("drift", " ")))),
        ("many faults at once", text(&sheet("job,X,,,0,99,1,hall,perhaps,later,0,\n"))),
        ("column twice", text("kind,team,name,count,count\n")),
        ("sheet row twice", text(&sheet("sheet,,2026-12-05,4,,,,,,,,\n"))),
    ]
}

#[test]
fn valid_sheets_parse_and_invalid_sheets_report_issues() {
    let mut found = String::new();
    for (name, bytes) in cases() {
        found.push_str(&format!("{name}:\n    {}\n", summary(&bytes)));
    }
    expect![[r#"
        plain:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "ref"
        byte order mark:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "ref"
        carriage returns:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "ref"
        semicolons and decimal comma:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "ref"
        tabs:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "ref"
        trailing blank rows:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "ref"
        reordered and extra columns:
            day 2026-12-04, base 0, 1 teams, 0 guarantees, 0 jobs
            warning: line 1, column note: "" found, expected a known column; passed over
        upper-case header:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "ref"
        quoted comma and newline:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "a,\nb"
        formula is text:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "=1+1"
        at sign is text:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 1 jobs
            job drift@2026-12-04 of Košice: 2x(8 accelerators, 4 cores, 0 GiB)/rack, 750000 ms, payload "@cmd"
        no jobs:
            day 2026-12-04, base 3, 1 teams, 0 guarantees, 0 jobs
        empty file:
            line 1, column kind: "" found, expected a header row with this column
            line 1, column team: "" found, expected a header row with this column
            line 1, column name: "" found, expected a header row with this column
            line 1, column count: "" found, expected a header row with this column
        header only:
            the file: a row of kind sheet with the service day
            the file: a last row of kind end; the file may be cut off
        no header:
            line 1, column kind: "" found, expected a header row with this column
            line 1, column team: "" found, expected a header row with this column
            line 1, column name: "" found, expected a header row with this column
            line 1, column count: "" found, expected a header row with this column
        not UTF-8:
            line 6, column (encoding): "byte 224 (0xe9)" found, expected text in UTF-8
        cut off:
            the file: a last row of kind end; the file may be cut off
        rows missing in the middle:
            line 4, column count: "3" found, expected 2, the rows before this one
        rows after the end:
            line 6: nothing after the row of kind end
        unknown kind:
            line 4, column kind: "jobs" found, expected sheet, team, guarantee, job or end
        unknown team:
            line 4, column team: "Kosice" found, expected a team with a row of kind team above
        team twice:
            line 4, column team: "Košice" found, expected each team once
        job twice:
            line 5, column name: "drift" found, expected another name than line 4
        too many members:
            line 4, column members: "65" found, expected a whole number from 1 to 64
        members not a number:
            line 4, column members: "two" found, expected a whole number from 1 to 64
        negative accelerators:
            line 4, column accelerators: "-8" found, expected a whole number from 0 to 32
        unknown span:
            line 4, column span: "room" found, expected worker, rack or data_centre
        odd flag:
            line 4, column repeatable: "maybe" found, expected yes or no
        odd deadline:
            line 4, column deadline: "6:30" found, expected a time such as 2026-12-04T06:30:00Z
        no run time:
            line 4, column run_minutes: "" found, expected minutes, more than 0 and at most 525600
        run time not a number:
            line 4, column run_minutes: "NaN" found, expected minutes, more than 0 and at most 525600
        odd day:
            line 2, column name: "4.12.2026" found, expected the service day, such as 2026-12-04
        no name:
            line 4, column name: "" found, expected a name of 1 to 100 bytes without control characters
        many faults at once:
            line 4, column name: "" found, expected a name of 1 to 100 bytes without control characters
            line 4, column team: "X" found, expected a team with a row of kind team above
            line 4, column span: "hall" found, expected worker, rack or data_centre
            line 4, column members: "0" found, expected a whole number from 1 to 64
            line 4, column accelerators: "99" found, expected a whole number from 0 to 32
            line 4, column repeatable: "perhaps" found, expected yes or no
            line 4, column deadline: "later" found, expected a time such as 2026-12-04T06:30:00Z
            line 4, column run_minutes: "0" found, expected minutes, more than 0 and at most 525600
        column twice:
            line 1, column count: "count" found, expected each column once
        sheet row twice:
            line 4, column kind: "sheet" found, expected one row of kind sheet
    "#]].assert_eq(&found);
}

#[test]
fn diff_lists_added_changed_and_removed_items() {
    let guarantee = |count| format!("guarantee,Košice,drift,{count},2,8,4,rack,,,,\n");
    let before = parse(sheet(&guarantee(1)).as_bytes()).unwrap().sheet;
    let after = sheet(&guarantee(2)).replace("team,Košice", "team,Nitra,,,,,,,,,,\nteam,Košice");
    let after = parse(after.replace("end,,,3", "end,,,4").as_bytes()).unwrap().sheet;
    let forward = SheetDiff::new(&before.teams, &after.teams);
    let backward = SheetDiff::new(&after.teams, &before.teams);
    expect![[r#"
        + team Nitra: at most 1000 jobs wait
        ~ guarantee Košice/drift: 1 of 2x(8 accelerators, 4 cores, 0 GiB)/rack -> 2 of 2x(8 accelerators, 4 cores, 0 GiB)/rack
        and back:
        ~ guarantee Košice/drift: 2 of 2x(8 accelerators, 4 cores, 0 GiB)/rack -> 1 of 2x(8 accelerators, 4 cores, 0 GiB)/rack
        - team Nitra: at most 1000 jobs wait
    "#]].assert_eq(&format!("{forward}and back:\n{backward}"));
}

#[test]
fn example_sheets_are_valid_and_survive_a_round_trip() {
    let examples = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["archive-sheet.csv", "demo-sheet.csv", "dobrescu-sheet.csv"] {
        let bytes = std::fs::read(examples.join(name)).unwrap();
        let parsed = parse(&bytes).unwrap_or_else(|issues| panic!("{name}: {issues:?}"));
        assert_eq!(parsed.warnings, Vec::new());
        assert_eq!(
            parse(&write(&parsed).unwrap()).unwrap(),
            parsed,
            "{name} differs after a round trip"
        );
    }
}

#[test]
fn sheet_with_100_000_jobs_parses() {
    let rows: String =
        (0..100_000).map(|index| format!("job,Košice,job-{index},,1,1,1,,yes,,1,\n")).collect();
    assert_eq!(parse(sheet(&rows).as_bytes()).unwrap().sheet.jobs.len(), 100_000);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic_the_parser(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse(&bytes);
    }

    #[test]
    fn arbitrary_rows_do_not_panic_the_parser(text in "[a-z,;\"\n\t0-9=é-]{0,300}") {
        let _ = parse(sheet(&text).as_bytes());
    }

    #[test]
    fn written_sheet_parses_to_the_same_sheet(
        jobs in proptest::collection::btree_map(
            "[a-zA-Zéü]{1,12}",
            (1..65_u8, 0..33_u8, 1..100_000_u64, any::<bool>(), "[ -~é]{0,20}"),
            0..20,
        )
    ) {
        let mut parsed = parse(sheet("").as_bytes()).unwrap();
        for (name, (members, accelerators, minutes, flag, payload)) in jobs {
            let row = format!("job,Košice,{name},,1,1,1,,yes,,1,\n");
            let mut job = parse(sheet(&row).as_bytes()).unwrap().sheet.jobs.remove(0);
            job.spec.shape.members = members;
            job.spec.shape.per_member.accelerators = accelerators;
            job.spec.declared_run_ms = minutes * 60_000;
            job.spec.repeatable = flag;
            job.spec.payload = payload.trim().into();
            parsed.sheet.jobs.push(job);
        }
        prop_assert_eq!(parse(&write(&parsed).unwrap()), Ok(parsed));
    }
}
