import type { ConfigurationRecord } from '@parsleyhall/configuration';

/** A change as an operator asks for it. */
type Change =
  | Pick<Extract<ConfigurationRecord, { readonly type: 'publish' }>, 'type' | 'document'>
  | Pick<Extract<ConfigurationRecord, { readonly type: 'usePreset' }>, 'type' | 'preset'>
  | Pick<
      Extract<ConfigurationRecord, { readonly type: 'drainHost' | 'restoreHost' }>,
      'type' | 'host'
    >;

/** An operator at a shell. */
export interface OperatorFake {
  readonly change: (change: Change) => void;
}
