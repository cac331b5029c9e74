import { create, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { SideToEntrySchema } from '../generated/link_pb.js';
import type { SideDigest } from '../sideDigest.js';
import type { SideToEntryMessage } from '../sideToEntryMessage.js';
import { encodeConfiguration } from './encodeConfiguration.js';
import { wireNumbers } from './wireNumbers.js';

type Body = NonNullable<MessageInitShape<typeof SideToEntrySchema>['body']>;

const { toCount, toQuantity } = wireNumbers;

const toWireDigest = (digest: SideDigest) => ({
  ...digest,
  runningRequests: toCount(digest.runningRequests),
  windowRequests: toCount(digest.windowRequests),
  prefillTokensAhead: toCount(digest.prefillTokensAhead),
  waitingTokensByTier: digest.waitingTokensByTier.map(toCount),
  waitingByTier: digest.waitingByTier.map(toCount),
  runningByTier: digest.runningByTier.map(toCount),
  prefillTokensPerSecond: toQuantity(digest.prefillTokensPerSecond),
  decodeTokensPerSecond: toQuantity(digest.decodeTokensPerSecond),
  predictedWaitMsByTier: digest.predictedWaitMsByTier.map(toQuantity),
});

const toBody = (message: SideToEntryMessage): Body => {
  switch (message.type) {
    case 'digest':
      return { case: 'digest', value: { digest: toWireDigest(message.digest) } };
    case 'handBack':
      return {
        case: 'handBack',
        value: { ...message, retryAfterMs: toQuantity(message.retryAfterMs) },
      };
    case 'answerEnd':
      return {
        case: 'answerEnd',
        value: {
          ...message,
          prefillTokens: toCount(message.prefillTokens),
          decodeTokens: toCount(message.decodeTokens),
        },
      };
    case 'configuration':
      return {
        case: 'configuration',
        value: { stateJson: encodeConfiguration(message.configuration) },
      };
    case 'hello':
    case 'grant':
    case 'accepted':
    case 'refused':
    case 'answerHead':
    case 'answerBytes':
    case 'answerFailed':
    case 'fate':
    case 'heartbeat':
      return { case: message.type, value: message } as unknown as Body;
  }
};

/** Encodes a message of a side process; numbers outside the wire's range are brought to its nearest bound. */
export const encodeSideToEntryMessage = (message: SideToEntryMessage): Uint8Array =>
  toBinary(SideToEntrySchema, create(SideToEntrySchema, { body: toBody(message) }));
