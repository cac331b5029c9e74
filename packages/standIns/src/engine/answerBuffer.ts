type Listener = () => void;

const encoder = new TextEncoder();

/** The body of one answer as it grows; any number of readers follow it from any byte. */
export class AnswerBuffer {
  private readonly pieces: { readonly offset: number; readonly bytes: Uint8Array }[] = [];
  private totalBytes = 0;
  private state: 'open' | 'ended' | 'cut' = 'open';
  private readonly listeners = new Set<Listener>();
  /** Wall clock at the end, in milliseconds; undefined while open. */
  endedAtMs: number | undefined;

  constructor(readonly contentType: string) {}

  /** Adds text to the body. */
  append(text: string): void {
    if (text === '' || this.state !== 'open') {
      return;
    }
    const bytes = encoder.encode(text);
    this.pieces.push({ offset: this.totalBytes, bytes });
    this.totalBytes += bytes.length;
    this.wake();
  }

  /** Ends the body: whole when true, cut otherwise. */
  finish(isWhole: boolean): void {
    if (this.state === 'open') {
      this.state = isWhole ? 'ended' : 'cut';
      this.endedAtMs = Date.now();
      this.wake();
    }
  }

  /** A live stream of the body from a byte on; leaving it does not stop the answer. */
  stream(from: number): ReadableStream<Uint8Array> {
    let position = from;
    let listener: Listener = () => undefined;
    return new ReadableStream<Uint8Array>({
      start: (controller) => {
        listener = () => {
          position = this.copyFrom(position, controller);
          this.closeIfDone(controller, listener);
        };
        this.listeners.add(listener);
        listener();
      },
      cancel: () => {
        this.listeners.delete(listener);
      },
    });
  }

  private copyFrom(
    position: number,
    controller: ReadableStreamDefaultController<Uint8Array>,
  ): number {
    if (position >= this.totalBytes) {
      return position;
    }
    const first = this.pieces.findLastIndex(({ offset }) => offset <= position);
    for (const { offset, bytes } of this.pieces.slice(first)) {
      controller.enqueue(bytes.subarray(Math.max(0, position - offset)));
    }
    return this.totalBytes;
  }

  private closeIfDone(
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
    controller.error(new Error('answer cut'));
  }

  private wake(): void {
    [...this.listeners].forEach((listener) => {
      listener();
    });
  }
}
