use crate::state::held_memory::HeldMemory;

/// Guards against small answers that wait, and then fail, for memory of which they need none.
#[test]
fn nothing_can_be_taken_while_all_is_held() {
    let memory = HeldMemory::for_callers(1);
    let holder = memory.holder();
    let _held = holder.take_always(memory.max_bytes() + 1);
    assert!(holder.take(0, 0).is_ok());
    assert!(holder.take(1, 0).is_err());
}
