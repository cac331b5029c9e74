/** What a caller of the load got in the end; an answer that broke off is `cut`. */
export type CallerResult =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly requestId: string;
      readonly prompt: string;
      readonly text: string;
    }
  | { readonly type: 'cut'; readonly prompt: string };
