use landingdrift_testkit::cli;

fn main() {
    std::process::exit(cli::run(std::env::args_os().skip(1).collect()));
}
