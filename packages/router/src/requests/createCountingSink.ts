import type { ResponseSink } from '../targets/responseSink.js';

const HEADER_SEPARATOR_BYTES = 2;

/** Wraps a sink and counts the bytes of the response's headers and body as they arrive. */
export const createCountingSink = (
  sink: ResponseSink,
  countBytes: (bytes: number) => void,
): ResponseSink => ({
  ...sink,
  handleHead: (status, headers, rawHeaders) => {
    countBytes(rawHeaders.reduce((sum, { length }) => sum + length + HEADER_SEPARATOR_BYTES, 0));
    sink.handleHead(status, headers, rawHeaders);
  },
  handleBytes: (bytes) => {
    countBytes(bytes.length);
    return sink.handleBytes(bytes);
  },
});
