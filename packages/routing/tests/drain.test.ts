import { expect, it } from 'vitest';
import { GOOD_HEAD } from './support/goodHead.js';
import { newTargets } from './support/newTargets.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newRoute } from './support/newRoute.js';
import { RoutingHarness } from './support/routingHarness.js';

// Guards against LOST at the end of a stop: open requests ended with a closed connection, whether they had run or not.
it('gives each request a true final response when the time for a drain is up', () => {
  const entry = RoutingHarness.createReady(
    newConfiguration({ routes: [newRoute({ kind: 'stream' })] }),
    newTargets(1, { slots: 2 }),
  );
  const begun = entry.arrive();
  entry.receiveHead(begun, GOOD_HEAD);
  const { sendId } = entry.getLastSend(begun);
  entry.dispatch({ type: 'responseProgressed', requestId: begun, sendId });
  const sent = entry.arrive();
  const waiting = entry.arrive();
  expect(entry.getSends(waiting)).toEqual([]);
  entry.dispatch({ type: 'drainTimeUp' });
  expect(entry.isConnectionClosed(begun)).toBe(true);
  expect(entry.getRefusal(begun)).toBeUndefined();
  expect(entry.getRefusal(sent)).toEqual({ status: 502, reason: 'outcomeUnknown' });
  expect(entry.getRefusal(waiting)).toEqual({
    status: 503,
    reason: 'stopping',
    retryAfterMs: 100,
  });
  expect(entry.state.requests.isEmpty()).toBe(true);
});
