import { expect, test } from 'vitest';
import { createBufferedSink } from '../src/requests/createBufferedSink.js';

// Guards against a part of a response that stays counted after its send has failed or was cancelled.
test.each(['failure', 'cancel'])('a buffered part is released at a %s', (end) => {
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
        return true;
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
  sink.handleHead(200, {}, []);
  sink.handleBytes(Buffer.alloc(1_000));
  expect(heldBytes).toBeGreaterThan(0);
  if (end === 'cancel') {
    sink.handleCancel();
  } else {
    sink.handleFailure('broken', new Error('reset'));
  }
  expect(heldBytes).toBe(0);
});
