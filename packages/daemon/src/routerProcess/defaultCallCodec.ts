import type { IncomingHttpHeaders } from 'node:http';
import { toOptionalField } from '@parsleyhall/common';
import type { HeaderCodec } from '@parsleyhall/router';

const REQUEST_ID = 'x-request-id';
const TEAM_KEY = 'x-team-key';
const TEAM = 'x-team';
const DEADLINE = 'x-deadline-ms';
const PROMPT_TOKENS = 'x-prompt-tokens';
const MAX_OUTPUT_TOKENS = 'x-max-output-tokens';
const PROMPT_PARTS = 'x-prompt-parts';
const LIMIT_PER_SECOND = 'x-limit-per-second';
const LAST_EVENT_ID = 'last-event-id';

const readText = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
};

const readCount = (headers: IncomingHttpHeaders, name: string): number | undefined => {
  const text = readText(headers, name);
  return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined;
};

const readRate = (headers: IncomingHttpHeaders, name: string): number | undefined => {
  const text = readText(headers, name);
  return text !== undefined && /^\d{1,9}(\.\d{1,9})?$/.test(text) ? Number(text) : undefined;
};

const readList = (headers: IncomingHttpHeaders, name: string): readonly string[] | undefined =>
  readText(headers, name)
    ?.split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');

/**
 * Reads and writes calls with the product's own headers: `x-request-id`, `x-team-key`, `x-deadline-ms`,
 * `x-prompt-tokens`, `x-max-output-tokens`, `x-prompt-parts` (ids of the parts of the prompt that other requests may
 * share), and in responses `x-limit-per-second` (what the target takes from all routers together).
 */
export const defaultCallCodec: HeaderCodec = {
  reservedHeaders: new Set([TEAM_KEY, TEAM, DEADLINE, LAST_EVENT_ID]),
  readRequestHeaders: (headers) => ({
    ...toOptionalField('attemptId', readText(headers, REQUEST_ID)),
    ...toOptionalField('key', readText(headers, TEAM_KEY)),
    ...toOptionalField('deadlineMs', readCount(headers, DEADLINE)),
    ...toOptionalField('promptTokens', readCount(headers, PROMPT_TOKENS)),
    ...toOptionalField('maxOutputTokens', readCount(headers, MAX_OUTPUT_TOKENS)),
    ...toOptionalField('sharedPromptParts', readList(headers, PROMPT_PARTS)),
    ...toOptionalField('lastEventId', readText(headers, LAST_EVENT_ID)),
  }),
  writeRequestHeaders: ({ remainingMs, team, lastEventId }) => [
    DEADLINE,
    String(remainingMs),
    ...(team === undefined ? [] : [TEAM, team]),
    ...(lastEventId === undefined ? [] : [LAST_EVENT_ID, lastEventId]),
  ],
  eventFormat: { isNumbered: false, firstNumber: 1, isIdFirst: false, extraFields: new Set() },
  readResponseHeaders: (_, headers) => ({
    ...toOptionalField('attemptId', readText(headers, REQUEST_ID)),
    ...toOptionalField('limitPerSecond', readRate(headers, LIMIT_PER_SECOND)),
    isSigned: true,
    isNotRun: false,
    isLeaving: false,
  }),
};
