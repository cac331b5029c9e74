import type { StreamOutcome } from './streamOutcome.js';

interface DecodedBody {
  readonly body: string;
  readonly isComplete: boolean;
}

const decodeChunks = (text: string): DecodedBody => {
  let rest = text;
  let body = '';
  for (;;) {
    const sizeEnd = rest.indexOf('\r\n');
    const size = Number.parseInt(rest.slice(0, sizeEnd), 16);
    const start = sizeEnd + 2;
    if (sizeEnd < 0 || Number.isNaN(size) || rest.length < start + size + 2) {
      return { body, isComplete: false };
    }
    if (size === 0) {
      return { body, isComplete: true };
    }
    body += rest.slice(start, start + size);
    rest = rest.slice(start + size + 2);
  }
};

const decodeLength = (text: string, length: string | undefined): DecodedBody => ({
  body: text,
  isComplete: length !== undefined && text.length === Number(length),
});

/** Parses all that a caller received on a connection with one response. */
export const parseOutcome = (received: string, sends: number): StreamOutcome => {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return { status: undefined, isComplete: false, body: '', sends };
  }
  const head = received.slice(0, headEnd);
  const text = received.slice(headEnd + 4);
  const decoded = /^transfer-encoding: chunked$/im.test(head)
    ? decodeChunks(text)
    : decodeLength(text, /^content-length: (\d+)$/im.exec(head)?.[1]);
  return { status: Number(head.split(' ')[1]), ...decoded, sends };
};
