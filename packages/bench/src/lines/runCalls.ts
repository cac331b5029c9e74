import type { Histogram } from 'hdr-histogram-js';
import { newDurationHistogram } from '@parsleyhall/metrics';
import { Agent, request } from 'undici';

const MAX_ANSWER_BYTES = 1_000_000;

/** What callers got. */
interface CallsResult {
  readonly whole: number;
  readonly other: number;
  /** From the call to the first bytes, in milliseconds. */
  readonly firstMs: Histogram;
}

/** Calls a router again and again from so many callers at once, for so long. */
export const runCalls = async (
  address: string,
  callers: number,
  forMs: number,
): Promise<CallsResult> => {
  const dispatcher = new Agent({ connections: callers, pipelining: 1 });
  const firstMs = newDurationHistogram();
  const endMs = performance.now() + forMs;
  let whole = 0;
  let other = 0;

  const callOnce = async (id: string): Promise<void> => {
    const startMs = performance.now();
    const headers = { 'x-request-id': id };
    const answer = await request(`http://${address}/`, { dispatcher, method: 'POST', headers });
    answer.body.once('readable', () => {
      firstMs.recordValue(Math.round(performance.now() - startMs));
    });
    await answer.body.dump({ limit: MAX_ANSWER_BYTES });
    if (answer.statusCode === 200) {
      whole += 1;
    } else {
      other += 1;
    }
  };

  const callAgainAndAgain = async (caller: number): Promise<void> => {
    for (let call = 0; performance.now() < endMs; call += 1) {
      await callOnce(`${caller}-${call}`);
    }
  };

  await Promise.all(Array.from({ length: callers }, (_, caller) => callAgainAndAgain(caller)));
  await dispatcher.close();
  return { whole, other, firstMs };
};
