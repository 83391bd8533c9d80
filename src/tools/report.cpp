#include "tools/report.hpp"

#include <cerrno>
#include <cstring>
#include <ctime>

#include <ctemplate/template.h>
#include <fcntl.h>
#include <unistd.h>

namespace limemast::tools {
namespace {
using ctemplate::TemplateDictionary;

/// The template library escapes all values according to their context in the page (AUTOESCAPE).
/// Only the plots are inserted unescaped; they contain no names that users chose.
constexpr const char* kPageTemplate = R"({{%AUTOESCAPE context="HTML"}}<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width,initial-scale=1">
<title>limemast: why jobs wait</title>
<style>
:root{color-scheme:light dark}body{font:15px/1.4 system-ui,sans-serif;margin:1rem auto;max-width:76rem;padding:0 .8rem}
h1{font-size:1.4rem;margin:.2rem 0}h2{font-size:1.1rem;margin:1.6rem 0 .4rem}p{margin:.3rem 0}
.missing{border-left:4px solid #c60;padding:.2rem .6rem;background:#c601}
.scroll{overflow-x:auto}table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{padding:.25rem .5rem;text-align:left;border-bottom:1px solid #8884;vertical-align:top}
th button{all:unset;cursor:pointer;font-weight:600}th button:focus-visible{outline:2px solid}th[aria-sort=ascending] button::after{content:" \25B2"}th[aria-sort=descending] button::after{content:" \25BC"}
input{font:inherit;padding:.2rem .4rem;margin:.2rem 0;width:min(24rem,100%)}svg{max-width:100%;height:auto;background:#fff}
@media (max-width:40rem){table.cards thead{display:none}table.cards tr{display:block;border:1px solid #8886;border-radius:6px;margin:.5rem 0;padding:.3rem}
table.cards td{display:grid;grid-template-columns:7rem 1fr;border:0;padding:.1rem .3rem}table.cards td::before{content:attr(data-name);opacity:.7}}
@media print{input{display:none}body{max-width:none;font-size:11px}h2{break-after:avoid}tr{break-inside:avoid}}
</style></head><body>
<h1>Why jobs wait</h1>
<p>Taken {{TAKEN}} from {{FROM}}; leader {{LEADER}}. {{COUNTS}}</p>
{{#MISSING}}<p class="missing">Part missing: {{WHAT}}</p>
{{/MISSING}}{{#PLOTS}}<h2>{{TITLE}}</h2>
{{SVG:none}}
{{/PLOTS}}{{#NOTE}}<p>{{TEXT}}</p>
{{/NOTE}}{{#TABLE}}<h2>{{HEADING}}</h2>
{{#SEARCH}}<p><input type="search" placeholder="Show only rows with" aria-label="Show only rows with"></p>{{/SEARCH}}
{{#EMPTY}}<p>None.</p>{{/EMPTY}}{{#FILLED}}<div class="scroll"><table class="cards"><thead><tr>{{#COLUMN}}<th scope="col"><button type="button">{{NAME}}</button></th>{{/COLUMN}}</tr></thead>
<tbody>
{{#ROW}}<tr>{{#CELL}}<td data-name="{{NAME}}" data-key="{{KEY}}">{{TEXT}}</td>{{/CELL}}</tr>
{{/ROW}}</tbody></table></div>{{/FILLED}}
{{/TABLE}}<script>
document.querySelectorAll("table").forEach(function(table){var body=table.tBodies[0];
table.querySelectorAll("th button").forEach(function(button,i){button.addEventListener("click",function(){
var th=button.parentNode,up=th.getAttribute("aria-sort")!=="ascending";
table.querySelectorAll("th").forEach(function(t){t.removeAttribute("aria-sort")});th.setAttribute("aria-sort",up?"ascending":"descending");
var key=function(row){return row.cells[i].dataset.key};
var numbers=Array.prototype.some.call(body.rows,function(r){return key(r)!==""});
Array.prototype.slice.call(body.rows).sort(function(a,b){var x=key(a),y=key(b);
if(numbers){if(x===""||y==="")return (x===""?1:0)-(y===""?1:0);return up?x-y:y-x}
x=a.cells[i].textContent;y=b.cells[i].textContent;return up?x.localeCompare(y):y.localeCompare(x)}).forEach(function(r){body.appendChild(r)})})})});
document.querySelectorAll("input[type=search]").forEach(function(input){input.addEventListener("input",function(){
var table=input.parentNode.nextElementSibling;while(table&&!table.querySelector("table"))table=table.nextElementSibling;if(!table)return;
var wanted=input.value.toLowerCase();Array.prototype.forEach.call(table.querySelector("tbody").rows,function(r){r.hidden=r.textContent.toLowerCase().indexOf(wanted)<0})})});
</script></body></html>
)";
constexpr const char* kTemplateName = "limemast-report.html";

void add_table(TemplateDictionary& page, const char* heading, const Table& table, bool search) {
  auto* section = page.AddSectionDictionary("TABLE");
  section->SetValue("HEADING", heading);
  if (table.rows.empty()) {
    section->ShowSection("EMPTY");
    return;
  }
  if (search) section->ShowSection("SEARCH");
  auto* filled = section->AddSectionDictionary("FILLED");
  for (const auto& column : table.columns)
    filled->AddSectionDictionary("COLUMN")->SetValue("NAME", column);
  for (const auto& row : table.rows) {
    auto* r = filled->AddSectionDictionary("ROW");
    for (std::size_t i = 0; i < row.size(); ++i) {
      auto* c = r->AddSectionDictionary("CELL");
      c->SetValue("NAME", table.columns[i]);
      c->SetValue("TEXT", row[i].text);
      if (row[i].number) c->SetFormattedValue("KEY", "%.3f", *row[i].number);
    }
  }
}

std::string format_utc(net::WallTime at) {
  const auto seconds = std::chrono::system_clock::to_time_t(at);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char out[40];
  return {out, std::strftime(out, sizeof out, "%Y-%m-%d %H:%M:%S UTC", &utc)};
}

/// Runs gnuplot on a script and returns the SVG that it wrote; empty if gnuplot cannot be run.
std::string run_gnuplot(const std::string& script) {
  char path[] = "/tmp/limemast-plot-XXXXXX";
  const int fd = mkstemp(path);
  if (fd < 0) return {};
  std::string out;
  if (auto* to = popen("gnuplot 2>/dev/null", "w")) {
    const auto full_script = "set terminal svg size 900,300 dynamic font 'sans,11'\nset output '" +
                             std::string(path) + "'\n" + script;
    const bool written =
        std::fwrite(full_script.data(), 1, full_script.size(), to) == full_script.size();
    if (pclose(to) == 0 && written) {
      char buffer[16384];
      for (ssize_t n; (n = read(fd, buffer, sizeof buffer)) > 0;)
        out.append(buffer, static_cast<std::size_t>(n));
    }
  }
  close(fd);
  unlink(path);
  // The XML declaration before the <svg> element is valid only in a separate file.
  const auto start = out.find("<svg");
  return start == std::string::npos ? std::string() : out.substr(start);
}
}  // namespace

std::vector<std::pair<std::string, std::string>> plot_history(const Snapshot& s, std::string& why) {
  if (s.samples.size() < 2) {
    why = "No plots: there is no history yet.";
    return {};
  }
  constexpr std::size_t kFirstCauseColumn = 4;  // after time, ordinary, spot and coming
  std::string data = "$H << EOD\n";
  std::vector<bool> seen(s.columns.size(), false);
  const auto last = s.samples.back().at(0).get<double>();
  for (const auto& row : s.samples) {
    data += std::to_string((row.at(0).get<double>() - last) / 60000);
    double sum = 0;
    for (std::size_t i = 1; i < s.columns.size(); ++i) {
      const auto n = i < row.size() ? row.at(i).get<double>() : 0;
      if (i == kFirstCauseColumn) sum = 0;
      sum += n;
      seen[i] = seen[i] || n > 0;
      data += " " + std::to_string(sum);  // stacked: each value includes the columns before it
    }
    data += "\n";
  }
  data +=
      "EOD\nset xlabel 'minutes before the report'\nset key outside right noenhanced\nset "
      "grid\nset yrange [0:*]\n";
  auto stacked = [&](std::size_t from, std::size_t to) {
    std::string lines;
    for (std::size_t i = to; i-- > from;)
      if (seen[i])
        lines += (lines.empty() ? "plot " : ", ") + std::string("$H using 1:") +
                 std::to_string(i + 1) + " with filledcurves x1 title '" + s.columns[i] + "'";
    return lines;
  };
  std::vector<std::pair<std::string, std::string>> out;
  auto add = [&](const char* title, const char* label, const std::string& plot) {
    if (plot.empty()) return;
    auto svg = run_gnuplot(data + "set ylabel '" + label + "'\n" + plot + "\n");
    if (!svg.empty())
      out.emplace_back(title, std::move(svg));
    else
      why = "No plots: gnuplot could not be run.";
  };
  add("Tasks waiting, by cause", "tasks", stacked(kFirstCauseColumn, s.columns.size()));
  add("Machines", "machines", stacked(1, kFirstCauseColumn));
  return out;
}

std::string render_report(const Snapshot& s,
                          const std::vector<std::pair<std::string, std::string>>& plots) {
  static const bool ready =
      ctemplate::StringToTemplateCache(kTemplateName, kPageTemplate, ctemplate::DO_NOT_STRIP);
  if (!ready) throw ApiError("report: the page template is invalid");
  TemplateDictionary page("report");
  page.SetValue("TAKEN", format_utc(s.taken));
  page.SetValue("FROM", s.from);
  page.SetValue("LEADER", s.leader.empty() ? "none" : s.leader);
  auto jobs = jobs_table(s);
  sort_rows(jobs, 5, false);
  std::uint64_t waiting = 0;
  for (const auto& j : s.jobs) waiting += j.value("waiting", 0) > 0;
  page.SetValue("COUNTS", std::to_string(s.jobs.size()) + " open jobs, " + std::to_string(waiting) +
                              " with tasks that wait; " + std::to_string(s.machines.size()) +
                              " machines.");
  for (const auto& m : s.missing) page.AddSectionDictionary("MISSING")->SetValue("WHAT", m);
  for (const auto& [title, svg] : plots) {
    auto* p = page.AddSectionDictionary("PLOTS");
    p->SetValue("TITLE", title);
    p->SetValue("SVG", svg);
  }
  add_table(page, "Causes", causes_table(s), false);
  add_table(page, "Jobs", jobs, true);
  add_table(page, "Drains", drains_table(s), false);
  add_table(page, "Teams", teams_table(s), false);
  add_table(page, "Controllers", controllers_table(s), false);
  add_table(page, "Machines", machines_table(s), true);
  page.AddSectionDictionary("NOTE")->SetValue("TEXT",
                                              "Place: L is the leader's queue of long tasks and "
                                              "services, S the queue of short jobs, ordered "
                                              "by least remaining work.");
  std::string out;
  if (!ctemplate::ExpandTemplate(kTemplateName, ctemplate::DO_NOT_STRIP, &page, &out))
    throw ApiError("report: the page template cannot be expanded");
  return out;
}

void write_file(const std::string& path, const std::string& content) {
  const auto temporary = path + ".part";
  auto fail = [&](const char* what) {
    const std::string why = std::strerror(errno);
    unlink(temporary.c_str());
    throw ApiError(std::string(what) + " " + path + ": " + why);
  };
  const int fd = open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) fail("cannot write");
  for (std::size_t at = 0; at < content.size();) {
    const auto n = write(fd, content.data() + at, content.size() - at);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      close(fd);
      fail("cannot write");
    }
    at += static_cast<std::size_t>(n);
  }
  if (fsync(fd) != 0 || close(fd) != 0) fail("cannot write");
  if (rename(temporary.c_str(), path.c_str()) != 0) fail("cannot rename the finished file to");
}
}  // namespace limemast::tools
