import type { IncomingMessage } from 'node:http';

/** The colon and the space behind a name and the end of the line, half of them for each part. */
const SEPARATOR_BYTES_PER_PART = 2;

/** Counts the bytes of a request's header lines, without its first line. */
export const countHeaderBytes = ({ rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce((sum, part) => sum + part.length + SEPARATOR_BYTES_PER_PART, 0);
