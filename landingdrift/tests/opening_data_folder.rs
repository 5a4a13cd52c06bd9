//! A replica whose data folder can't be opened. Guards against a process that exits instead of serving and retrying
//! while the error is transient, and against retries on a folder that is not a landingdrift data folder.

use landingdrift::daemon::{ClientLimits, HttpAdapter, HttpLimits, Process, SettingsSource};
use landingdrift::settings::Settings;
use serde_json::Value;
use signal_hook::consts::SIGTERM;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A timeout that is only reached if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
    listener.local_addr().expect("failed to get the address")
}

fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let response =
        reqwest::blocking::get(format!("http://{address}{path}")).expect("the call failed");
    (
        response.status().as_u16(),
        response.text().expect("failed to read the body"),
    )
}

fn role(address: SocketAddr) -> Value {
    let status: Value = serde_json::from_str(&get(address, "/v1/status").1).expect("invalid JSON");
    status["role"].clone()
}

#[test]
fn opening_the_folder_is_retried_while_the_process_serves() {
    let base = std::env::temp_dir().join(format!("landingdrift-opening-{}", std::process::id()));
    let _ = fs::remove_dir_all(&base);
    fs::create_dir_all(&base).expect("failed to create");
    // A file in place of the parent folder, so that the data folder can't be created.
    let parent = base.join("disk");
    fs::write(&parent, "").expect("failed to write");
    let listen = free_address().to_string();
    let settings = Settings {
        seeds: vec![listen.clone()],
        listen,
        zone: "a".into(),
        data: parent.join("data").to_string_lossy().into_owned(),
        ..Settings::default()
    };
    let mut process = Process::start("error", ClientLimits::default()).expect("failed to start");
    let replica = process
        .start_replica(&settings)
        .expect("failed to start without its folder");
    let address = free_address();
    let limits = HttpLimits {
        timeout: TEST_TIMEOUT,
        body_bytes: 1000,
        calls: 10,
    };
    process
        .serve_http(address, limits, HttpAdapter::default(), &replica)
        .expect("failed to serve HTTP");
    let running = spawn(move || process.run(SettingsSource::new(None, &|| Ok(Vec::new()))));
    sleep(Duration::from_millis(500));
    assert_eq!(role(address), "Opening");
    assert_eq!(
        (get(address, "/live").0, get(address, "/ready").0),
        (200, 503)
    );
    assert!(get(address, "/metrics")
        .1
        .contains("landingdrift_disk_retries"));
    assert!(!running.is_finished());
    fs::remove_file(&parent).expect("failed to remove the file");
    let since = Instant::now();
    while role(address) != "Leader" && since.elapsed() < TEST_TIMEOUT {
        sleep(Duration::from_millis(50));
    }
    assert_eq!(role(address), "Leader");
    signal_hook::low_level::raise(SIGTERM).expect("failed to raise the signal");
    assert_eq!(
        running
            .join()
            .expect("the process panicked")
            .map_err(String::from),
        Ok(())
    );
}

#[test]
fn a_folder_with_other_files_is_rejected_at_once() {
    let base = std::env::temp_dir().join(format!("landingdrift-foreign-{}", std::process::id()));
    let _ = fs::remove_dir_all(&base);
    fs::create_dir_all(&base).expect("failed to create");
    fs::write(base.join("photos.txt"), "mine").expect("failed to write");
    let settings = Settings {
        listen: free_address().to_string(),
        data: base.to_string_lossy().into_owned(),
        ..Settings::default()
    };
    let mut process = Process::start("error", ClientLimits::default()).expect("failed to start");
    let error = process
        .start_replica(&settings)
        .map(|_| ())
        .expect_err("the folder was accepted");
    assert!(
        error
            .to_string()
            .contains("is not a landingdrift data folder"),
        "{error}"
    );
}
