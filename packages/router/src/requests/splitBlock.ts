/** A part of a stream that ends with a blank line. */
export type SplitBlock =
  /** Comments and empty lines, which targets send to keep a connection open. */
  | { readonly kind: 'comment'; readonly bytes: Buffer }
  /** An event, with its id if it states one. */
  | {
      readonly kind: 'event';
      readonly bytes: Buffer;
      readonly id?: string;
      /** Whether it has a line of data; parsers pass over an event that has none. */
      readonly hasData: boolean;
    }
  /** Bytes that are neither; a faulty target sent them. */
  | { readonly kind: 'malformed'; readonly bytes: Buffer };
