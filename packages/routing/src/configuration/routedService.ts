/** Settings that all targets of one service share. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections to one target, of all callers together. */
  readonly maxConnections: number;
  /** Tokens that the requests at one target may hold together; undefined if there is no such limit. */
  readonly memoryTokens?: number;
}
