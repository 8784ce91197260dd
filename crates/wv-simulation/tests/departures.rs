//! Stories of databases' leaves: on how many nodes one stands when it is acknowledged.
mod apart;

use apart::*;
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_a_leave_acknowledged_among_seven_then_it_outlives_the_loss_of_three_with_the_one_that_said_so() {
    for lost in [[0, 1, 2], [0, 3, 6], [0, 4, 5], [0, 2, 4]] {
        let mut world = Simulation::configured(2, 3);
        (3..7).for_each(|_| {
            world.add_control(&[0, 1, 2]);
        });
        world.run(8 * S);
        expect_that!(call(&mut world, 1, ("PUT", "/instances/i-x"), &beat("10.9.0.1:1", "in_service", 1)).0, eq(200));
        world.run(S);
        // Only just enough of the others hear of it.
        [1, 2, 3].iter().for_each(|other| {
            world.dropped_one_way.insert(("c0".to_owned(), format!("c{other}")));
        });
        let told = call(&mut world, 0, ("PUT", "/instances/i-x"), &beat("10.9.0.1:1", "draining", 2));
        expect_that!(told, eq((200, 5 * MS)));
        lost.iter().for_each(|at| world.kill_control(*at));
        join(&mut world);
        world.run(6 * S);
        for at in (0..7).filter(|at| !lost.contains(at)) {
            expect_that!(text(&mut world, at, "/instances").1, contains_substring("draining"), "{lost:?}, at {at}");
        }
    }
}

#[gtest]
fn given_a_leave_that_too_few_heard_then_it_is_not_acknowledged_however_often_it_is_said() {
    let mut world = Simulation::configured(2, 3);
    (3..7).for_each(|_| {
        world.add_control(&[0, 1, 2]);
    });
    world.run(8 * S);
    (1..5).for_each(|other| {
        world.dropped_one_way.insert(("c0".to_owned(), format!("c{other}")));
    });
    // Two of the others hold it, which with this node are three of seven.
    for sequence in 2..4 {
        let told = call(&mut world, 0, ("PUT", "/instances/i-x"), &beat("10.9.0.1:1", "draining", sequence));
        expect_that!(told.0, eq(503));
        expect_that!(told.1, le(800 * MS));
    }
    // The database goes to another one, as it would.
    expect_that!(call(&mut world, 5, ("PUT", "/instances/i-x"), &beat("10.9.0.1:1", "draining", 4)).0, eq(200));
}
