import { Buffer } from 'node:buffer';
import type { EntryStep } from '../entryStep.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { emit } from '../steps/emit.js';

/** Records the whole answer of a request that owns its key, so that a repeat gets it again. */
export const recordAnswer = (step: EntryStep, { claim, answer }: TrackedRequest): EntryStep => {
  if (claim === undefined) {
    return step;
  }
  const body =
    answer.kept === undefined ? {} : { body: Buffer.concat(answer.kept).toString('base64') };
  return emit(step, {
    type: 'appendKeyRecord',
    partition: claim.partition,
    record: {
      type: 'done',
      key: claim.key,
      attempt: claim.attempt,
      status: answer.status,
      headers: answer.headers,
      ...body,
    },
  });
};
