//! A gateway with backend servers that misbehave, over real sockets on the loopback interface.

mod answers;
mod bodies;
mod callers;
mod following;
mod once;
mod stage;
mod stop;
