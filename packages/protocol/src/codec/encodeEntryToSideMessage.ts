import { create, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { EntryToSideMessage } from '../entryToSideMessage.js';
import { EntryToSideSchema } from '../generated/link_pb.js';
import type { Reservation } from '../reservation.js';
import { encodeConfiguration } from './encodeConfiguration.js';
import { wireNumbers } from './wireNumbers.js';

type Body = NonNullable<MessageInitShape<typeof EntryToSideSchema>['body']>;

const toWireReservation = (reservation: Reservation) => ({
  ...reservation,
  deadlineLeftMs: wireNumbers.toQuantity(reservation.deadlineLeftMs),
  ...(reservation.firstTokenLeftMs === undefined
    ? {}
    : { firstTokenLeftMs: wireNumbers.toQuantity(reservation.firstTokenLeftMs) }),
  prefillTokens: wireNumbers.toCount(reservation.prefillTokens),
  decodeTokens: wireNumbers.toCount(reservation.decodeTokens),
  prefixFingerprints: [...reservation.prefixFingerprints],
});

const toBody = (message: EntryToSideMessage): Body => {
  switch (message.type) {
    case 'reserve':
      return {
        case: 'reserve',
        value: { reservation: toWireReservation(message.reservation) },
      };
    case 'give':
      return {
        case: 'give',
        value: { ...message, deadlineLeftMs: wireNumbers.toQuantity(message.deadlineLeftMs) },
      };
    case 'configuration':
      return {
        case: 'configuration',
        value: { stateJson: encodeConfiguration(message.configuration) },
      };
    case 'hello':
    case 'withdraw':
    case 'gone':
    case 'cancel':
    case 'askFate':
    case 'acknowledgeEnd':
    case 'heartbeat':
      return { case: message.type, value: message } as Body;
  }
};

/** Encodes a message of an entry; numbers outside the wire's range are brought to its nearest bound. */
export const encodeEntryToSideMessage = (message: EntryToSideMessage): Uint8Array =>
  toBinary(EntryToSideSchema, create(EntryToSideSchema, { body: toBody(message) }));
