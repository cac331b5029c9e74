type Listener = () => void;

const encoder = new TextEncoder();

/** Body of a response while it is generated. Any number of readers can stream it from any byte. */
export class ResponseBodyBuffer {
  private readonly chunks: { readonly offset: number; readonly bytes: Uint8Array }[] = [];
  private totalBytes = 0;
  private state: 'open' | 'ended' | 'aborted' = 'open';
  private readonly listeners = new Set<Listener>();
  /** Wall-clock time of the end, in milliseconds since 1970; undefined while the body is open. */
  endedAtMs: number | undefined;

  constructor(readonly contentType: string) {}

  /** Appends text to the body. Does nothing once the body has ended. */
  append(text: string): void {
    if (text === '' || this.state !== 'open') {
      return;
    }
    const bytes = encoder.encode(text);
    this.chunks.push({ offset: this.totalBytes, bytes });
    this.totalBytes += bytes.length;
    this.notifyListeners();
  }

  /** Ends the body, as complete or as aborted. */
  finish(isComplete: boolean): void {
    if (this.state === 'open') {
      this.state = isComplete ? 'ended' : 'aborted';
      this.endedAtMs = Date.now();
      this.notifyListeners();
    }
  }

  /**
   * Creates a live stream of the body from a byte on. Cancelling the stream does not stop the
   * generation.
   */
  createStream(fromByte: number): ReadableStream<Uint8Array> {
    let position = fromByte;
    let listener: Listener = () => undefined;
    return new ReadableStream<Uint8Array>({
      start: (controller) => {
        listener = () => {
          position = this.enqueueFrom(position, controller);
          this.closeIfFinished(controller, listener);
        };
        this.listeners.add(listener);
        listener();
      },
      cancel: () => {
        this.listeners.delete(listener);
      },
    });
  }

  private enqueueFrom(
    position: number,
    controller: ReadableStreamDefaultController<Uint8Array>,
  ): number {
    if (position >= this.totalBytes) {
      return position;
    }
    const firstIndex = this.chunks.findLastIndex(({ offset }) => offset <= position);
    for (const { offset, bytes } of this.chunks.slice(firstIndex)) {
      controller.enqueue(bytes.subarray(Math.max(0, position - offset)));
    }
    return this.totalBytes;
  }

  private closeIfFinished(
    controller: ReadableStreamDefaultController<Uint8Array>,
    listener: Listener,
  ): void {
    if (this.state === 'open') {
      return;
    }
    this.listeners.delete(listener);
    if (this.state === 'ended') {
      controller.close();
      return;
    }
    controller.error(new Error('response was aborted'));
  }

  private notifyListeners(): void {
    [...this.listeners].forEach((listener) => {
      listener();
    });
  }
}
