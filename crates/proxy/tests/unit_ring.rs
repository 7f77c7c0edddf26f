//! `ring` by itself.

use violetwind_proxy::ring_buffer::*;

#[test]
fn lines_come_out_whole_and_in_order_past_the_end_of_the_buffer() {
    let mut ring = RingBuffer::new(16);
    for turn in 0..40 {
        let text = format!("n{turn:04}\r\n");
        assert!(ring.push(b"ab\r\n"));
        assert!(ring.push(text.as_bytes()));
        assert_eq!(ring.take_line().unwrap(), b"ab");
        assert!(ring.push(b"par"));
        assert_eq!(ring.take_line().unwrap(), &text.as_bytes()[..5]);
        assert_eq!(ring.take_line(), None);
        assert!(ring.push(b"t\r\n"));
        assert_eq!(ring.take_line().unwrap(), b"part");
    }
}

#[test]
fn a_full_ring_takes_no_more() {
    let mut ring = RingBuffer::new(4);
    assert!(ring.push(b"abcd"));
    assert!(!ring.push(b"e"));
    ring.truncate(2);
    assert!(ring.push(b"\r\n"));
    assert_eq!(ring.take_line().unwrap(), b"ab");
}
