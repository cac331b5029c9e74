import type { IncomingMessage } from 'node:http';

/** Memory of a parsed request and its response, without head and body. */
const REQUEST_COST_BYTES = 8_192;
/** Memory of the objects of a name or value of a header, besides its characters. */
const HEADER_PART_COST_BYTES = 56;

/** Counts the bytes of memory that a request takes without its body. */
export const countRequestBytes = ({ rawHeaders, url = '' }: IncomingMessage): number =>
  rawHeaders.reduce(
    (sum, part) => sum + part.length + HEADER_PART_COST_BYTES,
    REQUEST_COST_BYTES + url.length,
  );
