# Online harm against batch throughput over the weight.
#
# usage: build/bench/batch_share 1 300 >share.txt
#        gnuplot -e "data='share.txt'; name='large-busy'" bench/plots/batch_share.gp
set terminal svg size 800,480
set output sprintf("bench/plots/batch_share-%s.svg", name)
set xlabel "batch tokens/s"
set ylabel "first token, p99, ms"
set key top left
set logscale y
field(key) = sprintf("< sed -n 's/^%s-\\(%s\\) .*first_ms_p99=\\([0-9.]*\\) .*batch_tokens_s=\\([0-9.]*\\) .*/\\3 \\2 \\1/p' %s", name, key, data)
ours = field("ours-[0-9]*")
fixed = field("fixed-[0-9]*")
none = field("no-batch")
plot ours using 1:2:(substr(strcol(3), 6, 8)) with labels offset 0,1 notitle, \
     ours using 1:2 with linespoints title "weights 0 to 100", \
     fixed using 1:2 with points pt 6 title "fixed splits", \
     none using 1:2 with points pt 7 title "no batch"
