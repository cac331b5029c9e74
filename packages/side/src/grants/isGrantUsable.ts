import type { EntryId, RequestId } from '@parsleyhall/common';
import type { Grant } from './grant.js';

/** Whether a give may use the grant: it is this request's and entry's own and is not burnt. */
export const isGrantUsable = ({
  grant,
  requestId,
  entry,
}: {
  readonly grant: Grant;
  readonly requestId: RequestId;
  readonly entry: EntryId;
}): boolean =>
  grant.status !== 'burnt' &&
  grant.waiting.requestId === requestId &&
  grant.waiting.entry === entry;
