import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';

/** Renders a plot as SVG text, without a browser. */
export const renderPlot = async (specification: TopLevelSpec): Promise<string> => {
  const view = new View(parse(compile(specification).spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
};
