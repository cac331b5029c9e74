import { TOKEN_SIZES } from './tokenSizes.js';

interface PrefixCacheSettings {
  readonly budgetTokens: number;
  readonly onChange: (fingerprint: number, isEvicted: boolean) => void;
}

/** LRU cache of prefix blocks, identified by fingerprint, with a limit on its tokens. */
export class PrefixCache {
  private readonly blocks = new Set<number>();

  constructor(private readonly settings: PrefixCacheSettings) {}

  /** Counts the tokens at the start of a prompt that are cached and need no prefill. */
  countCachedTokens(fingerprints: readonly number[]): number {
    const firstMissing = fingerprints.findIndex((fingerprint) => !this.blocks.has(fingerprint));
    const cached = firstMissing === -1 ? fingerprints.length : firstMissing;
    return cached * TOKEN_SIZES.tokensPerBlock;
  }

  /** Stores the blocks of a prompt as the most recently used ones. */
  store(fingerprints: readonly number[]): void {
    // Reversed, since a block is usable only while all blocks before it are cached: the last are
    // evicted first.
    for (const fingerprint of [...fingerprints].reverse()) {
      const isCached = this.blocks.delete(fingerprint);
      this.blocks.add(fingerprint);
      if (!isCached) {
        this.settings.onChange(fingerprint, false);
      }
    }
    this.evict();
  }

  private evict(): void {
    const maxBlocks = Math.floor(this.settings.budgetTokens / TOKEN_SIZES.tokensPerBlock);
    for (const fingerprint of this.blocks) {
      if (this.blocks.size <= maxBlocks) {
        return;
      }
      this.blocks.delete(fingerprint);
      this.settings.onChange(fingerprint, true);
    }
  }
}
