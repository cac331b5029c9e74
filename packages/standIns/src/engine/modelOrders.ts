import { z } from 'zod';
import { MS_PER_SECOND } from '@parsleyhall/common';

/** Body of an order: its fencing number and what to do. */
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

/** The models that an engine holds and the orders that change them. */
export class ModelOrders {
  static readonly schema = orderSchema;
  highestFencing = 0;
  role = 'mixed';
  private readonly models: Set<string>;
  private storeFreeAtMs = 0;

  constructor(private readonly settings: ModelOrdersSettings) {
    this.models = new Set(settings.models);
  }

  /** True when the model answers. */
  hasModel(model: string): boolean {
    return this.models.has(model);
  }

  /** Obeys an order; false when its fencing number is old and is checked. */
  obey({ fencing, order }: z.output<typeof orderSchema>): boolean {
    if (this.settings.checksFencing && fencing < this.highestFencing) {
      return false;
    }
    this.highestFencing = Math.max(this.highestFencing, fencing);
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

  private loadModel(model: string, weightBytes: number): void {
    const loadMs = (weightBytes / this.settings.weightStoreBytesPerSecond) * MS_PER_SECOND;
    const nowMs = performance.now();
    this.storeFreeAtMs = Math.max(this.storeFreeAtMs, nowMs) + loadMs;
    setTimeout(() => this.models.add(model), this.storeFreeAtMs - nowMs).unref();
  }
}
