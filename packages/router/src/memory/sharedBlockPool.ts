import { createBlockPool } from './createBlockPool.js';

/** The blocks of all byte collectors of this process. */
export const sharedBlockPool = createBlockPool();
