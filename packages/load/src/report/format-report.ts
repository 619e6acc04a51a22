import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import type { ExperimentResult } from './experiment-result.js'

const COLOURS = ['#1f6f8b', '#c8553d', '#6a994e', '#7d5ba6', '#b08900', '#4a4e69']

/** Formats results as one self-contained HTML page: the plotting library and the data are inlined. */
export function formatReport (results: ExperimentResult[]): string {
  const plots = results.flatMap((result) => result.plots)
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Tanagerusher measurements</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; } th, td { border: 1px solid #ccc; padding: .25rem .6rem; text-align: left; }
td.number { text-align: right; font-variant-numeric: tabular-nums; } .plot { height: 22rem; margin: 1.5rem 0; }
.holds { color: #2d6a2d; } .fails { color: #a11; font-weight: bold; } code { background: #f3f3f3; padding: 0 .25rem; }
</style>
</head>
<body>
<h1>Tanagerusher measurements</h1>
${results.map(formatSection).join('\n')}
<script>${escapeScript(readChartLibrary())}</script>
<script>
const colours = ${JSON.stringify(COLOURS)}
const plots = ${escapeScript(JSON.stringify(plots))}
plots.forEach((plot, index) => {
  const datasets = plot.series.map(({ name, values }, at) => ({
    label: name, data: values, backgroundColor: colours[at % colours.length], borderColor: colours[at % colours.length]
  }))
  new Chart(document.getElementById('plot-' + index), {
    type: plot.type,
    data: { labels: plot.labels, datasets },
    options: {
      animation: false, maintainAspectRatio: false,
      plugins: { title: { display: true, text: plot.title } },
      scales: { x: { title: { display: true, text: plot.xLabel } }, y: { beginAtZero: true, title: { display: true, text: plot.yLabel } } }
    }
  })
})
</script>
</body>
</html>
`
  function formatSection (result: ExperimentResult): string {
    const columns = [...new Set(result.rows.flatMap(({ figures }) => Object.keys(figures)))]
    const first = plots.indexOf(result.plots[0] as ExperimentResult['plots'][number])
    const canvases = result.plots.map((_, index) => `<div class="plot"><canvas id="plot-${first + index}"></canvas></div>`)
    return `<h2>${escapeText(result.experiment)}</h2>
<p>${escapeText(result.summary)}</p>
<p>${escapeText(result.method)} Command: <code>${escapeText(result.command)}</code></p>
<ul>${result.bounds.map(formatBound).join('')}</ul>
<table><tr><th>Scenario</th><th>Mechanism</th>${columns.map((column) => `<th>${escapeText(column)}</th>`).join('')}</tr>
${result.rows.map((row) => formatRow(row, columns)).join('\n')}</table>
${canvases.join('\n')}`
  }
}

function formatRow ({ scenario, mechanism, role, figures }: ExperimentResult['rows'][number], columns: string[]): string {
  const cells = columns.map((column) => `<td class="number">${formatFigure(figures[column])}</td>`)
  return `<tr><td>${escapeText(scenario)}</td><td>${escapeText(mechanism)}${role === 'baseline' ? ' (baseline)' : ''}</td>${cells.join('')}</tr>`
}

function formatBound ({ text, figure, holds }: ExperimentResult['bounds'][number]): string {
  return `<li class="${holds ? 'holds' : 'fails'}">${escapeText(text)}: ${formatFigure(figure)} (${holds ? 'holds' : 'does not hold'})</li>`
}

function formatFigure (figure: number | null | undefined): string {
  if (figure === undefined || figure === null) return 'none'
  return Number.isInteger(figure) ? String(figure) : figure.toPrecision(4)
}

function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

/** Escapes the text of a script element, which otherwise ends at the first closing tag, even inside a string. */
function escapeScript (text: string): string {
  return text.replaceAll('</', '<\\/').replaceAll('<!--', '<\\!--')
}

/** Reads the browser build of the plotting library. The package does not export its path, so it is located next to the exported file. */
function readChartLibrary (): string {
  const entry = createRequire(import.meta.url).resolve('chart.js')
  return readFileSync(join(dirname(entry), 'chart.umd.js'), 'utf8').replace(/^\/\/# sourceMappingURL=.*$/m, '')
}
