//! Runs one case of the review: `rig CASE FOLDER`.

mod endless_events;
mod late_permit;
mod rig;
mod spoilt_stream;
mod stage_copy;
mod two_runs;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    // A case ends the process itself. A panic means that it could not run.
    let _ = std::panic::catch_unwind(move || {
        let state = rig::Case::start(&folder);
        match case.as_str() {
            "endless-events" => endless_events::run(state),
            "late-permit" => late_permit::run(state),
            "spoilt-stream" => spoilt_stream::run(state),
            "stage-copy" => stage_copy::run(state),
            "two-runs" => two_runs::run(state),
            _ => state.cannot_run("unknown case"),
        }
    });
    rig::end_all();
    std::process::exit(2);
}
