import type { RawRequest } from './rawRequest.js';

/** Requests received by one target, or by several that share the queue. */
export class RequestQueue {
  private readonly waitingReaders: ((request: RawRequest) => void)[] = [];
  private readonly bufferedRequests: RawRequest[] = [];

  push(request: RawRequest): void {
    const next = this.waitingReaders.shift();
    if (next === undefined) {
      this.bufferedRequests.push(request);
      return;
    }
    next(request);
  }

  next(): Promise<RawRequest> {
    return new Promise((resolve) => {
      const request = this.bufferedRequests.shift();
      if (request === undefined) {
        this.waitingReaders.push(resolve);
        return;
      }
      resolve(request);
    });
  }
}
