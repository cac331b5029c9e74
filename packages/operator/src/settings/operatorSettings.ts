/** Settings of the operator's command. */
export interface OperatorSettings {
  readonly log: { readonly address: string };
  readonly hostList: { readonly address: string };
  /** Who the operator is; other operators are told when this one wins a race. */
  readonly operator: string;
}
