import { z } from 'zod';
import { MS_PER_SECOND } from '@parsleyhall/common';

/** Body of an order: its fencing token and the action. */
const orderSchema = z.object({
  fencing: z.number().int().min(0),
  order: z.discriminatedUnion('type', [
    z.object({
      type: z.literal('loadModel'),
      model: z.string(),
      weightBytes: z.number().min(0).default(0),
    }),
    z.object({ type: z.literal('unloadModel'), model: z.string() }),
    z.object({ type: z.literal('changeRole'), role: z.string() }),
  ]),
});

interface ModelOrdersSettings {
  readonly models: readonly string[];
  readonly checksFencing: boolean;
  readonly weightStoreBytesPerSecond: number;
}

/** Models that an engine has loaded, and the orders that change them. */
export class ModelOrders {
  static readonly schema = orderSchema;
  highestFencingToken = 0;
  role = 'mixed';
  private readonly models: Set<string>;
  private weightStoreFreeAtMs = 0;

  constructor(private readonly settings: ModelOrdersSettings) {
    this.models = new Set(settings.models);
  }

  /** Whether the model is loaded and can serve requests. */
  hasModel(model: string): boolean {
    return this.models.has(model);
  }

  /** Executes an order. Returns false when fencing is checked and the fencing token is stale. */
  execute({ fencing, order }: z.output<typeof orderSchema>): boolean {
    if (this.settings.checksFencing && fencing < this.highestFencingToken) {
      return false;
    }
    this.highestFencingToken = Math.max(this.highestFencingToken, fencing);
    switch (order.type) {
      case 'loadModel':
        this.loadModel(order.model, order.weightBytes);
        return true;
      case 'unloadModel':
        this.models.delete(order.model);
        return true;
      case 'changeRole':
        this.role = order.role;
        return true;
    }
  }

  /** Models are loaded one after the other, since they share the bandwidth of the weight store. */
  private loadModel(model: string, weightBytes: number): void {
    const loadMs = (weightBytes / this.settings.weightStoreBytesPerSecond) * MS_PER_SECOND;
    const nowMs = performance.now();
    this.weightStoreFreeAtMs = Math.max(this.weightStoreFreeAtMs, nowMs) + loadMs;
    setTimeout(() => this.models.add(model), this.weightStoreFreeAtMs - nowMs).unref();
  }
}
