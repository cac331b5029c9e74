/** What holds for all targets of one service. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target takes from all callers together. */
  readonly maxConnections: number;
}
