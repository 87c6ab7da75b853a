//! The real program over loopback, with stand-ins that speak HTTP.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

mod loopback;

use hyper::Method;
use loopback::{Deployment, StandInWorker, ask, job, settings, settings_file, start, until};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Client, RequestError};
use ochredrum::wire::encode;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use tokio::task::LocalSet;

#[test]
fn answers_statuses_and_survives_a_kill() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::new().await;
        let file = settings_file("kill.toml", &deployment.settings());
        let program = start(&file);
        let client = Client::new(deployment.front, MESSAGE_PACK, 1);
        until(&client, Method::GET, "/healthz", &[], 200).await;

        let post = |body: Vec<u8>| ask(&client, Method::POST, "/v1/jobs", body);
        assert_eq!(post(vec![0xc1, 0xff]).await.unwrap().0, 400);
        assert_eq!(post(encode(&json!([1, 2]))).await.unwrap().0, 400);
        assert_eq!(post(Vec::new()).await.unwrap().0, 400);
        let mut wrong = job("req-000001");
        wrong["beats"] = json!(0);
        assert_eq!(post(encode(&wrong)).await.unwrap().0, 400);
        let mut large = job("req-000001");
        large["herd"] = json!("x".repeat(70_000));
        // Refused before it is read to its end: an answer, or a closed connection.
        assert!(matches!(
            post(encode(&large)).await,
            Ok((400, _)) | Err(RequestError::OutcomeUnknown)
        ));
        for (field, value) in [
            ("crew", json!("nobody")),
            ("cards", json!(9.0)),
            ("breeds", json!(["x"])),
        ] {
            let mut never = job("req-000001");
            never[field] = value;
            assert_eq!(post(encode(&never)).await.unwrap().0, 422, "{field}");
        }
        assert_eq!(
            ask(&client, Method::GET, "/v1/jobs/req-000001", vec![])
                .await
                .unwrap()
                .0,
            404
        );
        assert_eq!(
            ask(&client, Method::GET, "/nowhere", vec![])
                .await
                .unwrap()
                .0,
            404
        );
        assert_eq!(
            ask(&client, Method::DELETE, "/v1/jobs", vec![])
                .await
                .unwrap()
                .0,
            405
        );

        let (status, body) = post(encode(&job("req-000001"))).await.unwrap();
        assert_eq!(
            (status, body),
            (201, json!({"nameId": "req-000001", "stance": "pending"}))
        );
        assert_eq!(post(encode(&job("req-000001"))).await.unwrap().0, 200);
        let cancel = "/v1/jobs/req-000002/withdraw";
        assert_eq!(post(encode(&job("req-000002"))).await.unwrap().0, 201);
        let (status, body) = ask(&client, Method::POST, cancel, vec![]).await.unwrap();
        assert_eq!((status, &body["stance"]), (200, &json!("withdrawn")));

        let needing = |id: &str, needed: Value| {
            let mut job = job(id);
            job["awaits"] = needed;
            post(encode(&job))
        };
        for wrong in [json!("req-000001"), json!(["r-1"]), json!([1])] {
            assert_eq!(needing("req-000003", wrong).await.unwrap().0, 400);
        }
        for never in ["req-000777", "req-000003"] {
            assert_eq!(
                needing("req-000003", json!([never])).await.unwrap().0,
                422,
                "{never}"
            );
        }
        let many: Vec<&str> = vec!["req-000001"; 2000];
        assert_eq!(
            needing("req-000003", json!(many)).await.unwrap().0,
            201,
            "all the same one"
        );
        let (status, body) = needing("req-000004", json!(["req-000003", "req-000002"]))
            .await
            .unwrap();
        assert_eq!((status, &body["stance"]), (201, &json!("withdrawn")));
        assert_eq!(
            needing("req-000005", json!(["req-000004"]))
                .await
                .unwrap()
                .1["stance"],
            "withdrawn"
        );

        drop(program);
        let _program = start(&file);
        let body = until(&client, Method::GET, "/v1/jobs/req-000001", &[], 200).await;
        assert_eq!(body["stance"], "pending");
        let body = until(&client, Method::GET, "/v1/jobs/req-000002", &[], 200).await;
        assert_eq!(body["stance"], "withdrawn");
        assert_eq!(
            post(encode(&job("req-000002"))).await.unwrap().1["stance"],
            "withdrawn"
        );
        for (id, status) in [("3", "pending"), ("4", "withdrawn"), ("5", "withdrawn")] {
            let path = format!("/v1/jobs/req-00000{id}");
            assert_eq!(
                until(&client, Method::GET, &path, &[], 200).await["stance"],
                status
            );
        }
    });
}

/// A direct message is delayed at its worker, the next one to the same worker is refused at once, and then the first is
/// executed: its task runs there and on no other worker.
#[test]
fn a_delayed_start_beside_a_refused_message_runs_once() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::new().await;
        // Long enough for both messages to be in flight at once, even on a busy machine.
        let text = deployment
            .settings()
            .replace("lease_s = 4.0", "lease_s = 20.0");
        let _program = start(&settings_file("late.toml", &text));
        let client = Client::new(deployment.front, MESSAGE_PACK, 1);
        until(&client, Method::GET, "/healthz", &[], 200).await;
        let workers = [
            StandInWorker::start("m-000001", deployment.front).await,
            StandInWorker::start("m-000002", deployment.front).await,
        ];
        let submit = async |id: &str| {
            let mut job = job(id);
            job["beats"] = json!(1);
            until(&client, Method::POST, "/v1/jobs", &encode(&job), 201).await
        };
        for worker in &workers {
            worker.has_token().await;
            worker.hold_next_message();
        }
        submit("req-000001").await;
        let (delayed, other) = loop {
            tokio::time::sleep(Duration::from_millis(5)).await;
            match workers
                .iter()
                .map(StandInWorker::holds_message)
                .collect::<Vec<_>>()[..]
            {
                [true, _] => break (&workers[0], &workers[1]),
                [_, true] => break (&workers[1], &workers[0]),
                _ => {}
            }
        };
        other.serve_messages();
        delayed.refuse_connections();
        submit("req-000002").await;
        other.has_task("req-000002/0").await;
        delayed.execute_held_message();
        delayed.has_task("req-000001/0").await;
        // Long enough for any duplicate start to have reached a worker.
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert!(delayed.runs("req-000001/0") && !other.ran("req-000001/0"));
        assert!(!delayed.ran("req-000002/0") && other.runs("req-000002/0"));
    });
}

#[test]
fn bad_settings_end_the_program_with_the_fields_name() {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let good = settings(address, address, address, address);
    let run = |name: &str, text: &str| {
        let file = settings_file(name, text);
        let program = env!("CARGO_BIN_EXE_ochredrum");
        Command::new(program)
            .arg("check-config")
            .arg(file)
            .output()
            .unwrap()
    };
    assert!(run("good.toml", &good).status.success());
    for (from, to, field) in [
        (
            "lease_s = 4.0",
            "lease_s = -4.0",
            "deployment.workers.lease_s",
        ),
        ("lease_s = 4.0", "", "lease_s"),
        ("txn_ops = 8", "txn_ops = \"8\"", "txn_ops"),
        (
            "txn_ops = 8",
            "txn_ops = 8\nnext = { txn_ops = 1 }",
            "deployment.state.next.txn_ops",
        ),
        (
            "txn_ops = 8",
            "txn_ops = 8\nnext = { value_kb = 0.0 }",
            "deployment.state.next.value_kb",
        ),
        ("host_name = \"n0\"", "host_name = \"\"", "host_name"),
    ] {
        let output = run("bad.toml", &good.replace(from, to));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(
            message.contains(field) && message.lines().count() == 1,
            "{message}"
        );
    }
}
