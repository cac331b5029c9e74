import type { AnswerFault } from './answerFault.js';
import type { ProxyState } from './proxyState.js';

/** A target in the process of the soak, behind a fault proxy. */
export interface SoakTarget extends AsyncDisposable {
  readonly name: string;
  readonly address: string;
  /** Whether the target breaks off part of its requests. */
  readonly setResetting: (isResetting: boolean) => void;
  /** Sets what is wrong with part of its responses; undefined for nothing. */
  readonly setAnswerFault: (fault: AnswerFault | undefined) => void;
  readonly setSlow: (isSlow: boolean) => void;
  /** Sets whether a part of prompts crashes the target. */
  readonly setPoison: (part: string, isPoison: boolean) => void;
  /** Sets the limit that the target states, in requests per second; undefined to state none. */
  readonly setLimit: (perSecond: number | undefined) => void;
  readonly setProxyState: (state: ProxyState) => void;
}
