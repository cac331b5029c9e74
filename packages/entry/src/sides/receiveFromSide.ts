import { assertNever } from '@parsleyhall/common';
import type { SideId } from '@parsleyhall/common';
import type { SideToEntryMessage } from '@parsleyhall/protocol';
import { adoptConfiguration } from '../configuration/adoptConfiguration.js';
import { shareConfiguration } from '../configuration/shareConfiguration.js';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { dropReservation } from '../requests/dropReservation.js';
import { giveRequest } from '../requests/giveRequest.js';
import { placeUnplaced } from '../requests/placeUnplaced.js';
import { sendToSide } from '../steps/sendToSide.js';
import { greetSide } from './greetSide.js';
import { receiveAboutRequest } from './receiveAboutRequest.js';
import { updateLink } from './updateLink.js';

type Message<Type extends SideToEntryMessage['type']> = Extract<SideToEntryMessage, { type: Type }>;

const receiveGrant = (
  scope: EntryScope,
  step: EntryStep,
  side: SideId,
  { grantId, requestId }: Message<'grant'>,
): EntryStep => {
  const tracked = step.state.requests.get(requestId);
  const isLate = tracked !== undefined && scope.nowMs >= tracked.request.deadlineMs;
  return tracked !== undefined && !isLate && scope.decisions.mayGive(tracked)
    ? giveRequest(scope, step, tracked, { side, grantId })
    : sendToSide(step, side, { type: 'gone', grantId, requestId });
};

const receiveHandBack = (
  scope: EntryScope,
  step: EntryStep,
  side: SideId,
  { requestId, reason, retryAfterMs }: Message<'handBack'>,
): EntryStep => {
  const tracked = step.state.requests.get(requestId);
  return tracked === undefined
    ? step
    : dropReservation(scope, step, tracked, side, { side, reason, retryAfterMs });
};

const receiveDigest = (
  scope: EntryScope,
  step: EntryStep,
  side: SideId,
  { digest }: Message<'digest'>,
): EntryStep => {
  const known = updateLink(step, side, { digest, isLeaving: digest.isLeaving });
  const pool = known.state.sides.get(side)?.greeting?.pool;
  return pool === undefined ? known : placeUnplaced(scope, known, pool);
};

const receiveAboutGrant = (
  scope: EntryScope,
  step: EntryStep,
  side: SideId,
  message: Parameters<typeof receiveAboutRequest>[3],
): EntryStep => {
  const { requestId, grantId } = message;
  const tracked = step.state.requests.get(requestId);
  if (tracked !== undefined && scope.decisions.isOwnGrant(tracked, grantId)) {
    return receiveAboutRequest(scope, step, tracked, message);
  }
  const isOver = message.type === 'answerEnd' && tracked === undefined;
  return isOver ? sendToSide(step, side, { type: 'acknowledgeEnd', grantId, requestId }) : step;
};

const receiveHeartbeat = (
  step: EntryStep,
  side: SideId,
  { configurationVersion }: Message<'heartbeat'>,
): EntryStep =>
  shareConfiguration(updateLink(step, side, { configurationVersion }), side, configurationVersion);

/** Takes in one message of a side process. */
export const receiveFromSide = (
  scope: EntryScope,
  step: EntryStep,
  side: SideId,
  message: SideToEntryMessage,
): EntryStep => {
  const heard = updateLink(step, side, { lastHeardMs: scope.nowMs });
  switch (message.type) {
    case 'hello':
      return greetSide(scope, heard, side, message);
    case 'grant':
      return receiveGrant(scope, heard, side, message);
    case 'handBack':
      return receiveHandBack(scope, heard, side, message);
    case 'accepted':
    case 'refused':
    case 'answerHead':
    case 'answerBytes':
    case 'answerEnd':
    case 'answerFailed':
    case 'fate':
      return receiveAboutGrant(scope, heard, side, message);
    case 'digest':
      return receiveDigest(scope, heard, side, message);
    case 'heartbeat':
      return receiveHeartbeat(heard, side, message);
    case 'configuration':
      return adoptConfiguration(scope, heard, message.configuration);
    default:
      return assertNever(message);
  }
};
