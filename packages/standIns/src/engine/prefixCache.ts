import { TOKEN_SIZES } from './tokenSizes.js';

interface PrefixCacheSettings {
  readonly budgetTokens: number;
  readonly onChange: (fingerprint: number, isEvicted: boolean) => void;
}

/** Prefix blocks by fingerprint within a budget of tokens; the least recently used goes first. */
export class PrefixCache {
  private readonly blocks = new Set<number>();

  constructor(private readonly settings: PrefixCacheSettings) {}

  /** Tokens at the start of the prompt that need no prefill. */
  countCachedTokens(fingerprints: readonly number[]): number {
    const firstMissing = fingerprints.findIndex((fingerprint) => !this.blocks.has(fingerprint));
    const cached = firstMissing === -1 ? fingerprints.length : firstMissing;
    return cached * TOKEN_SIZES.tokensPerBlock;
  }

  /** Keeps the blocks of a prompt as the most recently used. */
  store(fingerprints: readonly number[]): void {
    for (const fingerprint of [...fingerprints].reverse()) {
      const isKnown = this.blocks.delete(fingerprint);
      this.blocks.add(fingerprint);
      if (!isKnown) {
        this.settings.onChange(fingerprint, false);
      }
    }
    this.evict();
  }

  private evict(): void {
    const maximumBlocks = Math.floor(this.settings.budgetTokens / TOKEN_SIZES.tokensPerBlock);
    for (const fingerprint of this.blocks) {
      if (this.blocks.size <= maximumBlocks) {
        return;
      }
      this.blocks.delete(fingerprint);
      this.settings.onChange(fingerprint, true);
    }
  }
}
