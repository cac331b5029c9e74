/** The shares of the host's memory and of the heap that callers may make the router hold. */
const HOST_MEMORY_SHARE = 0.2;
const HEAP_SHARE = 0.25;
/** One request of the full size always fits, with room for its response. */
const MIN_BODIES = 2;

/** The size of the budget in bytes: a share of the host's memory and of the heap, but enough for a body of full size. */
export const getMemoryLimitBytes = ({
  hostMemoryBytes,
  heapLimitBytes,
  maxBodyBytes,
}: {
  readonly hostMemoryBytes: number | undefined;
  readonly heapLimitBytes: number;
  readonly maxBodyBytes: number;
}): number =>
  Math.max(
    Math.min((hostMemoryBytes ?? Infinity) * HOST_MEMORY_SHARE, heapLimitBytes * HEAP_SHARE),
    MIN_BODIES * maxBodyBytes,
  );
