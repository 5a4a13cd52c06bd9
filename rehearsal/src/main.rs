use rehearsal::scenario::Scenario;
fn main() {
    let a: Vec<String> = std::env::args().collect();
    let s = Scenario::load(&a[1]).unwrap();
    let (r, b) = rehearsal::simulator::rehearse(&s, a[2].parse().unwrap());
    if a.len() > 3 {
        for l in &r.log {
            println!("{l}");
        }
        print!("{}", if a.len() > 4 { r.history.text() } else { String::new() });
    }
    println!("{:?}", r.summary);
    println!("{:?}", r.counters);
    for x in b.iter().take(20) {
        println!("BROKEN {x}");
    }
}
