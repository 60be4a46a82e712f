//! Runs the program as a child process whose peers send it more than its memory holds.

mod endless_answers;
mod floods;
mod foreign_records;
mod process;
mod small_calls;
