import { createEvents } from '../history/createEvents.js';
import { createResponseBody } from '../history/createResponseBody.js';
import { isStream } from '../history/isStream.js';
import type { RequestKind } from '../history/requestKind.js';
import type { TargetRun } from '../history/targetRun.js';
import type { AnswerFault } from './answerFault.js';
import { insertGarbage } from './insertGarbage.js';
import { insertLookAlike } from './insertLookAlike.js';
import type { PlantedFault } from './plantedFault.js';
import { STREAM_FAULTS } from './streamFaults.js';
import type { TargetResponse } from './targetResponse.js';

const CHUNK_INTERVAL_MS = 20;
const TRUNCATED_SHARE = 0.5;

interface ResponsePlan extends Pick<TargetRun, 'bodyWithLookAlike'> {
  readonly response: TargetResponse;
}

const createSoundResponse = (
  id: string,
  kind: RequestKind,
  firstNumber: number,
): TargetResponse => {
  const body = createResponseBody(id, kind);
  return {
    contentType: isStream(kind) ? 'text/event-stream' : 'text/plain',
    isFramed: true,
    chunks: isStream(kind)
      ? createEvents(id).slice(firstNumber - 1)
      : [body.slice(0, -1), body.slice(-1)],
    intervalMs: CHUNK_INTERVAL_MS,
    end: 'complete',
  };
};

const truncate = (response: TargetResponse, end: 'closed' | 'reset'): TargetResponse => ({
  ...response,
  chunks: response.chunks.slice(0, -1),
  end,
});

/** Plans how a target responds to a request: soundly, cut off, or with a fault. */
export const planResponse = ({
  id,
  kind,
  lastEventId,
  isCut,
  fault,
  plantedFault,
  random,
}: {
  readonly id: string;
  readonly kind: RequestKind;
  /** The number of the last event that the caller has; 0 for none. */
  readonly lastEventId: number;
  readonly isCut: boolean;
  readonly fault: AnswerFault | undefined;
  readonly plantedFault: PlantedFault | undefined;
  readonly random: () => number;
}): ResponsePlan => {
  const firstNumber = lastEventId + 1;
  const sound = createSoundResponse(id, kind, firstNumber);
  if (fault === 'unframed') {
    const response = { ...sound, isFramed: false };
    const end = plantedFault === 'orderlyTruncation' ? 'closed' : 'reset';
    return { response: isCut || random() < TRUNCATED_SHARE ? truncate(response, end) : response };
  }
  if (isCut) {
    return { response: truncate(sound, 'closed') };
  }
  if (fault === undefined || fault === 'invalidStatus' || !isStream(kind)) {
    return { response: sound };
  }
  const isNumbered = kind === 'resumableStream';
  const plantFault = plantedFault === undefined ? undefined : STREAM_FAULTS[plantedFault];
  if (plantFault !== undefined) {
    const chunks = isNumbered ? plantFault(sound.chunks, firstNumber) : sound.chunks;
    return { response: { ...sound, chunks } };
  }
  if (fault === 'garbage') {
    return { response: insertGarbage(sound, { isNumbered, firstNumber, random }) };
  }
  const plan = insertLookAlike(sound, { id, firstNumber, random });
  return plan === undefined || plantedFault === 'unrecordedLookAlike'
    ? { response: plan?.response ?? sound }
    : plan;
};
