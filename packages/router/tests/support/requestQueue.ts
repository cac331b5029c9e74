import type { RawRequest } from './rawRequest.js';

/** Requests of one target, or of several that share it. */
export class RequestQueue {
  private readonly waiting: ((request: RawRequest) => void)[] = [];
  private readonly ready: RawRequest[] = [];

  take(request: RawRequest): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.ready.push(request);
      return;
    }
    next(request);
  }

  next(): Promise<RawRequest> {
    return new Promise((resolve) => {
      const request = this.ready.shift();
      if (request === undefined) {
        this.waiting.push(resolve);
        return;
      }
      resolve(request);
    });
  }
}
