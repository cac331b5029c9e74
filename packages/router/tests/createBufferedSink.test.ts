import { expect, test } from 'vitest';
import { createBufferedSink } from '../src/requests/createBufferedSink.js';

const createWorld = ({ mayGrow }: { readonly mayGrow: boolean }) => {
  let heldBytes = 0;
  const sink = createBufferedSink(
    {
      requestId: 1,
      getLastEventId: () => undefined,
      countEvents: () => 0,
      hasSentHead: () => false,
      setHead: () => undefined,
      holdBuffered: (bytes) => {
        heldBytes = bytes;
        return mayGrow;
      },
      write: () => true,
      end: () => undefined,
      endWithBody: () => undefined,
      breakOff: () => undefined,
    },
    {
      reportHead: () => true,
      reportStarted: () => undefined,
      reportProgress: () => undefined,
      reportCommitted: () => undefined,
      reportEnd: () => undefined,
      reportFailure: () => undefined,
    },
  );
  return { sink, getHeldBytes: () => heldBytes };
};

// Guards against a part of a response that stays counted after its send has failed or was cancelled.
test.each(['failure', 'cancel'])('a buffered part is released at a %s', (end) => {
  const { sink, getHeldBytes } = createWorld({ mayGrow: true });
  sink.handleHead(200, {}, []);
  sink.handleBytes(Buffer.alloc(1_000));
  expect(getHeldBytes()).toBeGreaterThan(0);
  if (end === 'cancel') {
    sink.handleCancel();
  } else {
    sink.handleFailure('broken', new Error('reset'));
  }
  expect(getHeldBytes()).toBe(0);
});

// Guards against whole responses that wait for memory behind large ones.
test('while memory is short, a response is paused only if a part of it is missing', () => {
  const { sink } = createWorld({ mayGrow: false });
  sink.handleHead(200, { 'content-length': '1000' }, []);
  expect(sink.handleBytes(Buffer.alloc(999))).toBe(false);
  expect(sink.handleBytes(Buffer.alloc(1))).toBe(true);
});

// Guards against a response without a length that grows while memory is short.
test('while memory is short, a response of unknown length is paused', () => {
  const { sink } = createWorld({ mayGrow: false });
  sink.handleHead(200, {}, []);
  expect(sink.handleBytes(Buffer.alloc(1_000))).toBe(false);
});
